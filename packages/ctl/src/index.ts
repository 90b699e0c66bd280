export {runCtl} from './ctl.js';
export {mergeFolder} from './folder-plan.js';
export {Output, createConsoleOutput} from './output.js';

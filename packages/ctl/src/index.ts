export {runCtl} from './ctl.js';
export {mergeFolder} from './merge-folder.js';
export {Output, createConsoleOutput} from './output.js';

export {Daemon, createDaemon, type DaemonPorts} from './daemon.js';
export {lookUpPath} from './caller-server.js';
export {readSettings} from './read-settings.js';

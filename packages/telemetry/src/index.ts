export {
	createLogWriter,
	LogWriter,
	type LogFields,
	type LogPriority,
	type LogWriterOptions,
} from './log-writer.js';
export {Metrics} from './metrics.js';

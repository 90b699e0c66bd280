export {
	createLogWriter,
	LogWriter,
	type LogFields,
	type LogWeight,
	type LogWriterOptions,
} from './log-writer.js';
export {Metrics} from './metrics.js';

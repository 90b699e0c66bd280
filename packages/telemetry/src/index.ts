export {
	createLogWriter,
	LogWriter,
	type LogFields,
	type LogPriority,
	type LogWriterOptions,
} from './log-writer.js';
export {LimitReporter, type LimitReporterOptions} from './limit-reporter.js';
export {Metrics} from './metrics.js';

export {Child, startChild} from './child.js';
export {
	Fleet,
	createFleet,
	type Host,
	type HostLine,
	type Place,
	type ServerLine,
	type StoreLine,
} from './fleet.js';
export {
	readerKey,
	sampleRegions,
	schoolKey,
	startSample,
	toSampleConfiguration,
	toSampleHash,
	type Sample,
	type SampleRegion,
} from './sample.js';
export {sendRaw, type RawAnswers} from './raw-exchange.js';
export {Caller, type CallOutcome, type CallerOptions} from './caller.js';

export {Child, startChild} from './child.js';
export {
	Fleet,
	createFleet,
	type Host,
	type HostReadyMessage,
	type HostLocation,
	type ServerReadyMessage,
	type StoreReadyMessage,
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
export {sendRaw, type RawResponses} from './raw-exchange.js';
export {Caller, type CallOutcome, type CallerOptions} from './caller.js';
export {Crowd, repeatBytes, type CrowdOptions} from './crowd.js';
export {countDescriptors, readPeakResidentBytes} from './process-usage.js';

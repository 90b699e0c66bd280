export {ByteCharge} from './byte-charge.js';
export {BytesHolder} from './bytes-holder.js';
export {ByteCollector} from './byte-collector.js';
export {HeldBytesEntry} from './held-bytes-entry.js';
export {
	HeldBytes,
	type HeldBytesOptions,
	type MemoryPressure,
} from './held-bytes.js';
export {estimateMaximumBytes} from './maximum-bytes.js';

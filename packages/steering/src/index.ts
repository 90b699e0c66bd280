export {computeHash} from './hash.js';
export {createSteering} from './create-steering.js';
export {digestSchema, type Digest} from './messages/digest.js';
export type {LogValue, SteeringEffect} from './effect.js';
export type {
	ReportedLoad,
	ReportedRateLimit,
	SteeringArrival,
	SteeringAttemptEnded,
	SteeringEvent,
	SteeringEventOf,
	SteeringOutcome,
} from './event.js';
export * from './model.js';
export type {RateTolerance, SteeringSettings} from './settings.js';
export {
	comparePositions,
	formatPosition,
	storePositionSchema,
	unreadPosition,
	type StorePosition,
} from './store-position.js';
export {computeAcceptPeriod} from './stop-schedule.js';
export type {SteeringContext, SteeringKernel} from './types.js';

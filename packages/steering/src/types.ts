import type {Context, Kernel} from '@parsleyvale/kernel';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';

export type SteeringContext = Context<SteeringEvent, SteeringEffect>;
export type SteeringKernel = Kernel<SteeringEvent, SteeringEffect>;

import type {LogValue, SteeringEffect} from '../effect.js';

/** Collects metrics and log lines of pools until the next tick emits them. */
export class PoolReport {
	#effects: SteeringEffect[] = [];

	/** Returns what was collected since the last call. */
	take(): readonly SteeringEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	count(name: string, labels: Readonly<Record<string, string>>): void {
		this.#effects.push({type: 'count', name, labels});
	}

	observe(name: string, service: string, value: number): void {
		this.#effects.push({type: 'observe', name, labels: {service}, value});
	}

	log(message: string, fields: Readonly<Record<string, LogValue>>): void {
		this.#effects.push({type: 'log', priority: 'belief', message, fields});
	}
}

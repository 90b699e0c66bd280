import {
	Counter,
	Gauge,
	Histogram,
	Registry,
	collectDefaultMetrics,
} from 'prom-client';
import type {Count, Labels, Observe} from '@parsleyvale/kernel';

const latencyBuckets = [
	1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000,
];

/** Counters and histograms, made when the kernel first names them. */
export class Metrics {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #histograms = new Map<string, Histogram>();

	/** `isWithProcess`: also tell of the process and its runtime. */
	constructor(isWithProcess = true) {
		if (isWithProcess) {
			collectDefaultMetrics({register: this.#registry});
		}
	}

	get contentType(): string {
		return this.#registry.contentType;
	}

	count(effect: Count): void {
		const {name, labels, by} = effect;
		const counter = this.#counters.get(name) ?? this.#addCounter(name, labels);
		counter.inc(labels, by);
	}

	observe(effect: Observe): void {
		const {name, labels, value} = effect;
		const histogram =
			this.#histograms.get(name) ?? this.#addHistogram(name, labels);
		histogram.observe(labels, value);
	}

	/** Sets a gauge that is read when the metrics are. */
	addGauge(name: string, read: () => number): void {
		const gauge = new Gauge({
			name: toMetricName(name),
			help: name,
			registers: [this.#registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	/** All metrics in the text format of Prometheus. */
	async format(): Promise<string> {
		return this.#registry.metrics();
	}

	#addCounter(name: string, labels: Labels): Counter {
		const counter = new Counter({
			name: toMetricName(name),
			help: name,
			labelNames: Object.keys(labels),
			registers: [this.#registry],
		});
		this.#counters.set(name, counter);
		return counter;
	}

	#addHistogram(name: string, labels: Labels): Histogram {
		const histogram = new Histogram({
			name: toMetricName(name),
			help: name,
			labelNames: Object.keys(labels),
			buckets: latencyBuckets,
			registers: [this.#registry],
		});
		this.#histograms.set(name, histogram);
		return histogram;
	}
}

function toMetricName(name: string): string {
	return `parsleyvale_${name.replaceAll(/\W/g, '_')}`;
}

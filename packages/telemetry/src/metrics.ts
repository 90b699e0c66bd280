import {
	Counter,
	Gauge,
	Histogram,
	Registry,
	collectDefaultMetrics,
} from 'prom-client';
import type {Count, Labels, Observe} from '@parsleyvale/kernel';

const latencyBucketsMs = [
	1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000,
];

/** Counters and histograms, created when the kernel first uses them, and gauges. */
export class Metrics {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #histograms = new Map<string, Histogram>();

	/** `includesProcess`: also export the metrics of the process and the runtime. */
	constructor(includesProcess = true) {
		if (includesProcess) {
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

	/** Adds a gauge whose value is read on each scrape. */
	addGauge(name: string, getValue: () => number): void {
		const gauge = new Gauge({
			name: formatMetricName(name),
			help: name,
			registers: [this.#registry],
			collect() {
				gauge.set(getValue());
			},
		});
	}

	/** Formats all metrics in the text format of Prometheus. */
	async format(): Promise<string> {
		return this.#registry.metrics();
	}

	#addCounter(name: string, labels: Labels): Counter {
		const counter = new Counter({
			name: formatMetricName(name),
			help: name,
			labelNames: Object.keys(labels),
			registers: [this.#registry],
		});
		this.#counters.set(name, counter);
		return counter;
	}

	#addHistogram(name: string, labels: Labels): Histogram {
		const histogram = new Histogram({
			name: formatMetricName(name),
			help: name,
			labelNames: Object.keys(labels),
			buckets: latencyBucketsMs,
			registers: [this.#registry],
		});
		this.#histograms.set(name, histogram);
		return histogram;
	}
}

function formatMetricName(name: string): string {
	return `parsleyvale_${name.replaceAll(/\W/g, '_')}`;
}

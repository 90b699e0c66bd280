import {second, type Milliseconds} from '@parsleyvale/shared';

/** Time that a request spends at a server before the first response has told. */
const initialRequestTime: Milliseconds = 400;
/** Weight of the newest response in the moving average of that time. */
const requestTimeGain = 0.1;
/** Time constant of the usual number of other hosts' requests: several digests. */
const usualLoadSpan: Milliseconds = 2 * second;
/** Weight of the newest statement in the mean that stands for the usual load while there are no digests. */
const statementGain = 0.2;
/** A total that a server states so often in a row, while full, is not taken as a measurement. */
const implausibleRepeats = 4;

/** Requests in flight that another host reported, and when. */
export type RemoteCount = {readonly count: number; readonly at: Milliseconds};

/** When the other hosts sent their counts, for all servers together. */
export class ReportTimes {
	#total = 0;
	#weightedTime = 0;

	/** A host's newer count for one server replaces its previous one. */
	onRemoteCount(previous: RemoteCount, next: RemoteCount): void {
		this.#total += next.count - previous.count;
		this.#weightedTime += next.count * next.at - previous.count * previous.at;
	}

	/** Mean time of the last reports, weighted by the hosts' shares of the requests. */
	get mean(): Milliseconds | undefined {
		return this.#total > 0 ? this.#weightedTime / this.#total : undefined;
	}
}

/**
 * Estimates how many requests of other hosts are at one server from counts that
 * are old: digests, and what the server's responses state.
 *
 * A request ends with probability `1 - exp(-age / requestTime)` within the age of
 * a count. As many are sent meanwhile as usually are: the mean of the reported
 * counts over some seconds stands for the other hosts' share of the traffic. So a
 * count `c` of age `a` becomes `c * p + usual * (1 - p)` with `p = exp(-a /
 * requestTime)`: exact when new, the usual load when old. Digests and statements
 * are averaged with their `p` as weights. Without any digest, the fading mean of
 * the statements is the usual load; without both, none is assumed, so that this
 * host chooses by its own counts.
 *
 * Bounds of the error, if the counts were true: at most `c` too high, all of the
 * counted requests having ended and none sent; too low by at most what was sent
 * within the age. The standard deviation for independent requests is
 * `sqrt(c * p * (1 - p) + usual * (1 - p))`, see `computeDeviation`. This host's
 * own requests are not part of it, and are exact.
 */
export class LoadEstimate {
	readonly #reportTimes: ReportTimes;
	#requestTime = initialRequestTime;
	#remote = 0;
	/** Sum over the other hosts of count times time of its report. */
	#weightedTime = 0;
	#usual = 0;
	#usualAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#stated = 0;
	#statedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#statedTotal = 0;
	#meanStated = 0;
	#repeats = 0;

	constructor(reportTimes: ReportTimes) {
		this.#reportTimes = reportTimes;
	}

	/** Another host's newer report replaces its previous one. */
	onRemoteCount(
		previous: RemoteCount,
		next: RemoteCount,
		now: Milliseconds,
	): void {
		this.#usual = this.#computeUsual(now);
		this.#usualAt = now;
		// A restarted server has no count of the previous report.
		const others = Math.max(0, this.#remote - previous.count);
		this.#remote = others + next.count;
		this.#weightedTime =
			(others === 0 ? 0 : this.#weightedTime - previous.count * previous.at) +
			next.count * next.at;
	}

	/** The server stated the total of its requests, of which `own` are this host's. */
	onStated(total: number, own: number, slots: number, now: Milliseconds): void {
		const isRepeated = total === this.#statedTotal && total >= slots;
		this.#repeats = isRepeated ? this.#repeats + 1 : 0;
		this.#statedTotal = total;
		this.#stated = Math.max(0, total - own);
		const mean = this.#computeMeanStated(now);
		this.#meanStated = mean + statementGain * (this.#stated - mean);
		this.#statedAt = now;
	}

	/** The server was full and rejected a request, which confirms the total that it states. */
	onShed(): void {
		this.#repeats = 0;
	}

	/** A request of this host was at the server for this long. */
	onEnded(duration: Milliseconds): void {
		const change = Math.max(1, duration) - this.#requestTime;
		this.#requestTime += requestTimeGain * change;
	}

	/** Estimates the requests of other hosts at the server. */
	compute(now: Milliseconds): number {
		const usual = this.#computeUsual(now);
		const reportedShare = this.#computeReportedShare(now);
		const statedShare = this.#computeStatedShare(now);
		const totalShare = reportedShare + statedShare;
		if (totalShare === 0) {
			return usual;
		}

		const reported = usual + (this.#remote - usual) * reportedShare;
		const stated = usual + (this.#stated - usual) * statedShare;
		return (reported * reportedShare + stated * statedShare) / totalShare;
	}

	/** Computes the standard deviation of the estimate from its age. */
	computeDeviation(now: Milliseconds): number {
		const share = Math.max(
			this.#computeReportedShare(now),
			this.#computeStatedShare(now),
		);
		const usual = this.#computeUsual(now);
		return Math.sqrt((this.#remote * share + usual) * (1 - share));
	}

	/** Uses the time of the digests that report requests here, else of all. */
	#computeReportedShare(now: Milliseconds): number {
		const reportedAt =
			this.#remote > 0
				? this.#weightedTime / this.#remote
				: this.#reportTimes.mean;
		return reportedAt === undefined
			? 0
			: this.#computeRemainingShare(reportedAt, now);
	}

	#computeStatedShare(now: Milliseconds): number {
		return this.#isStatementPlausible
			? this.#computeRemainingShare(this.#statedAt, now)
			: 0;
	}

	get #isStatementPlausible(): boolean {
		return this.#repeats < implausibleRepeats;
	}

	/** Computes the share of counted requests that have not ended; times in the future count as now. */
	#computeRemainingShare(at: Milliseconds, now: Milliseconds): number {
		return Math.exp(Math.min(0, at - now) / this.#requestTime);
	}

	#computeUsual(now: Milliseconds): number {
		if (this.#reportTimes.mean === undefined) {
			return this.#isStatementPlausible ? this.#computeMeanStated(now) : 0;
		}

		const weight = Math.exp(Math.min(0, this.#usualAt - now) / usualLoadSpan);
		return this.#remote + (this.#usual - this.#remote) * weight;
	}

	/** Fades without statements, so that a server that nobody uses does not count as full. */
	#computeMeanStated(now: Milliseconds): number {
		return (
			this.#meanStated *
			Math.exp(Math.min(0, this.#statedAt - now) / usualLoadSpan)
		);
	}
}

import {Result} from 'true-myth';
import * as z from 'zod';
import type {CtlError} from './ctl-error.js';

const logLineSchema = z.looseObject({
	time: z.string(),
	host: z.string(),
	message: z.string(),
	requestId: z.string().optional(),
	callerId: z.string().optional(),
	/** How an attempt or an accepted request ended. */
	outcome: z.string().optional(),
	/** The error kind of a refused request. */
	kind: z.string().optional(),
});

/** A line of a host's log; unknown fields are kept. */
export type LogLine = z.infer<typeof logLineSchema>;

/** The log lines of a request, and the cause of its outcome. */
export type Explanation = {
	readonly timeline: readonly LogLine[];
	readonly cause: string;
};

/** Causes by the final outcome or error kind of a request. */
const causesByOutcome: Readonly<Record<string, string>> = {
	answered: 'A backend server answered it.',
	'failed at server': 'The backend server ran it and returned an error.',
	'rate-exceeded':
		'Not run: the customer exceeded its rate limit, which applies across all hosts.',
	'no-room':
		'Not run: no eligible server had capacity or could have finished in time.',
	'no-server':
		'Not run: no eligible server was left; the others are draining, evacuated, cold or ejected.',
	'server-refused': 'Not run: the servers rejected it.',
	'request-blocked':
		'Not run: the same request has crashed several servers and is not sent to another one for now.',
	'keys-not-fresh':
		'Not run: the host could not tell whether the key was withdrawn; it had reached neither the store nor a host that had reached the store.',
	'not-configured': 'Not run: the host had no configuration yet.',
	'key-unknown': 'Not run: no customer has this key.',
	'key-missing': 'Not run: the route requires a key, and the request had none.',
	'no-route': 'Not run: no route matches the host name and path.',
	'outcome-unknown':
		'It may have run: the connection to the server closed before a complete response arrived.',
	'deadline-exceeded':
		"It may have run: the server had not responded when the route's timeout or the caller's deadline expired.",
	'caller-gone': 'The caller disconnected before there was a response.',
};

/**
 * Collects the log lines of one request from all hosts, sorted by time. Lines
 * may have a prefix before the JSON; lines without valid JSON are skipped.
 * Errors: not-found.
 *
 * @example
 * explainRequest('9c41d07be2a35f68', text.split('\n'));
 */
export function explainRequest(
	id: string,
	lines: Iterable<string>,
): Result<Explanation, CtlError> {
	const logLines = [...lines].flatMap((line) => parseLogLine(line));
	const requestIds = new Set(
		logLines
			.filter(({callerId, requestId}) => callerId === id || requestId === id)
			.map(({requestId}) => requestId),
	);
	const timeline = logLines
		.filter(
			({requestId}) => requestId !== undefined && requestIds.has(requestId),
		)
		.sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)));
	if (timeline.length === 0) {
		return Result.err({
			kind: 'not-found',
			message: `No log line of request "${id}" was found. It may have been dropped: search the logs for "dropped".`,
		});
	}

	return Result.ok({timeline, cause: findCause(timeline)});
}

function parseLogLine(line: string): LogLine[] {
	const start = line.indexOf('{');
	if (start === -1) {
		return [];
	}

	try {
		const parsed = logLineSchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? [parsed.data] : [];
	} catch {
		return [];
	}
}

function findCause(timeline: readonly LogLine[]): string {
	const endLine = timeline.findLast(({message}) =>
		['request ended', 'request refused'].includes(message),
	);
	if (endLine === undefined) {
		return 'Its end is not in these logs: it is still running, or the log line was dropped.';
	}

	const outcome = String(endLine.outcome ?? endLine.kind);
	return causesByOutcome[outcome] ?? `It ended with "${outcome}".`;
}

import {Result} from 'true-myth';
import {z} from 'zod';
import type {CtlError} from './ctl-error.js';

const lineSchema = z.looseObject({
	time: z.string(),
	host: z.string(),
	message: z.string(),
	requestId: z.string().optional(),
	callerId: z.string().optional(),
	/** How it ended: one of these. */
	outcome: z.string().optional(),
	kind: z.string().optional(),
});

/** A line of a host's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** What became of a request, and why. */
export type Explanation = {
	readonly timeline: readonly LogLine[];
	readonly cause: string;
};

/** Causes by the outcome or kind that a request ended with. */
const causes: Readonly<Record<string, string>> = {
	answered: 'A backend server answered it.',
	'failed at server': 'The backend server ran it and answered with a failure.',
	'rate-exceeded':
		'Not run: the customer was over its rate, counted over all hosts.',
	'no-room':
		'Not run: no server that may serve it had room, or could have ended in time.',
	'no-server':
		'Not run: no server was left that may serve it; the others drain, are evacuated, cold or ejected.',
	'server-refused': 'Not run: the servers rejected it.',
	'keys-not-fresh':
		'Not run: the host could not know whether the key was withdrawn; it had heard neither the store nor a host that had.',
	'not-configured': 'Not run: the host had no configuration yet.',
	'key-unknown': 'Not run: no customer has this key.',
	'key-missing': 'Not run: the route needs a key, and none came.',
	'no-route': 'Not run: no route matches host name and path.',
	'outcome-unknown':
		'It may have run: the connection to the server ended before a whole answer came.',
	'deadline-exceeded':
		"It may have run: the server had not answered when the route's time-out or the caller's deadline passed.",
	'caller-gone': 'The caller left before there was an answer.',
};

/**
 * Joins the lines of all hosts for one request. Lines may have words before
 * their JSON; lines that hold none are passed over. Errors: not-found.
 *
 * @example
 * explainRequest('9c41d07be2a35f68', text.split('\n'));
 */
export function explainRequest(
	id: string,
	lines: Iterable<string>,
): Result<Explanation, CtlError> {
	const parsed = [...lines].flatMap((line) => parseLine(line));
	const requestIds = new Set(
		parsed
			.filter(({callerId, requestId}) => callerId === id || requestId === id)
			.map(({requestId}) => requestId),
	);
	const timeline = parsed
		.filter(
			({requestId}) => requestId !== undefined && requestIds.has(requestId),
		)
		.sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)));
	if (timeline.length === 0) {
		return Result.err({
			kind: 'not-found',
			message: `No line of these logs tells of request "${id}". Its line may have been dropped: look for "dropped".`,
		});
	}

	return Result.ok({timeline, cause: toCause(timeline)});
}

function parseLine(line: string): LogLine[] {
	const start = line.indexOf('{');
	if (start === -1) {
		return [];
	}

	try {
		const parsed = lineSchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? [parsed.data] : [];
	} catch {
		return [];
	}
}

function toCause(timeline: readonly LogLine[]): string {
	const end = timeline.findLast(({message}) =>
		['request ended', 'request refused'].includes(message),
	);
	if (end === undefined) {
		return 'Its end is not in these logs: it runs, or its line was dropped.';
	}

	const outcome = String(end.outcome ?? end.kind);
	return causes[outcome] ?? `It ended with "${outcome}".`;
}

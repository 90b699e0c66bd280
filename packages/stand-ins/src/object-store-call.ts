import type {IncomingMessage} from 'node:http';

/** A call to the platform's API; rate limits and faults apply. */
export type DataCall =
	| {readonly kind: 'read'; readonly name: string}
	| {
			readonly kind: 'watch';
			readonly name: string;
			readonly afterVersion: number;
			readonly waitMs: number;
	  }
	| {readonly kind: 'list'; readonly prefix: string}
	| {
			readonly kind: 'write';
			readonly name: string;
			readonly expectedVersion: number;
	  }
	| {
			readonly kind: 'delete';
			readonly name: string;
			readonly expectedVersion: number;
	  }
	| {readonly kind: 'list-hosts'}
	| {
			readonly kind: 'watch-hosts';
			readonly afterVersion: number;
			readonly waitMs: number;
	  };

/** A call that tests use to control the store; exempt from rate limits and faults. */
export type ControlCall =
	| {readonly kind: 'set-host'; readonly name: string}
	| {readonly kind: 'remove-host'; readonly name: string}
	| {readonly kind: 'set-faults'}
	| {readonly kind: 'get-counts'}
	| {readonly kind: 'malformed'};

export type ObjectStoreCall = DataCall | ControlCall;

export type CallOf<Kind extends CallKind> = Extract<
	ObjectStoreCall,
	{kind: Kind}
>;

export type CallKind = ObjectStoreCall['kind'];

const controlKinds: ReadonlySet<CallKind> = new Set<CallKind>([
	'set-host',
	'remove-host',
	'set-faults',
	'get-counts',
	'malformed',
]);

const malformedCall: ObjectStoreCall = {kind: 'malformed'};

/** Whether a call is exempt from rate limits and faults. */
export function isControlCall(call: ObjectStoreCall): call is ControlCall {
	return controlKinds.has(call.kind);
}

/** Whether a call counts against the write rate rather than the read rate. */
export function isWrite(kind: CallKind): boolean {
	return kind === 'write' || kind === 'delete';
}

export function parseCall(request: IncomingMessage): ObjectStoreCall {
	const url = new URL(request.url ?? '/', 'http://object-store');
	const [, resource, ...nameSegments] = url.pathname.split('/');
	const name =
		nameSegments.length === 0 ? undefined : parseName(nameSegments.join('/'));
	const method = request.method ?? 'GET';
	switch (resource ?? '') {
		case 'objects': {
			return parseObjectCall(method, name, url.searchParams);
		}

		case 'hosts': {
			return parseHostCall(method, name, url.searchParams);
		}

		case 'faults': {
			return method === 'PUT' ? {kind: 'set-faults'} : malformedCall;
		}

		case 'counts': {
			return method === 'GET' ? {kind: 'get-counts'} : malformedCall;
		}

		default: {
			return malformedCall;
		}
	}
}

function parseObjectCall(
	method: string,
	name: string | undefined,
	query: URLSearchParams,
): ObjectStoreCall {
	if (name === undefined) {
		return method === 'GET'
			? {kind: 'list', prefix: query.get('prefix') ?? ''}
			: malformedCall;
	}

	if (method === 'GET') {
		return parseReadOrWatch(name, query);
	}

	const expectedVersion = parseInteger(query.get('expected'));
	if (
		expectedVersion === undefined ||
		(method !== 'PUT' && method !== 'DELETE')
	) {
		return malformedCall;
	}

	return {kind: method === 'PUT' ? 'write' : 'delete', name, expectedVersion};
}

function parseReadOrWatch(
	name: string,
	query: URLSearchParams,
): ObjectStoreCall {
	const afterVersion = parseInteger(query.get('after'));
	if (afterVersion === undefined) {
		return {kind: 'read', name};
	}

	return {kind: 'watch', name, afterVersion, waitMs: parseWaitMs(query)};
}

function parseHostCall(
	method: string,
	name: string | undefined,
	query: URLSearchParams,
): ObjectStoreCall {
	if (name !== undefined) {
		return parseHostUpdate(method, name);
	}

	const afterVersion = parseInteger(query.get('after'));
	if (method !== 'GET') {
		return malformedCall;
	}

	return afterVersion === undefined
		? {kind: 'list-hosts'}
		: {kind: 'watch-hosts', afterVersion, waitMs: parseWaitMs(query)};
}

function parseHostUpdate(method: string, name: string): ObjectStoreCall {
	if (method === 'PUT') {
		return {kind: 'set-host', name};
	}

	return method === 'DELETE' ? {kind: 'remove-host', name} : malformedCall;
}

function parseWaitMs(query: URLSearchParams): number {
	return parseInteger(query.get('wait')) ?? 0;
}

function parseInteger(text: string | null): number | undefined {
	return text !== null && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function parseName(text: string): string | undefined {
	try {
		const name = decodeURIComponent(text);
		return name === '' ? undefined : name;
	} catch {
		return undefined;
	}
}

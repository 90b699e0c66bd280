import type {IncomingMessage} from 'node:http';

/** A call that callers of the platform make; rates and faults apply. */
export type DataCall =
	| {readonly kind: 'read'; readonly name: string}
	| {
			readonly kind: 'watch';
			readonly name: string;
			readonly after: number;
			readonly wait: number;
	  }
	| {readonly kind: 'list'; readonly prefix: string}
	| {readonly kind: 'write'; readonly name: string; readonly expected: number}
	| {readonly kind: 'delete'; readonly name: string; readonly expected: number}
	| {readonly kind: 'list-hosts'}
	| {
			readonly kind: 'watch-hosts';
			readonly after: number;
			readonly wait: number;
	  };

/** A call of the platform's own and of tests. */
export type ControlCall =
	| {readonly kind: 'set-host'; readonly name: string}
	| {readonly kind: 'remove-host'; readonly name: string}
	| {readonly kind: 'set-faults'}
	| {readonly kind: 'get-counts'}
	| {readonly kind: 'malformed'};

export type ObjectStoreCall = DataCall | ControlCall;

/** The call of one kind. */
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

const malformed: ObjectStoreCall = {kind: 'malformed'};

/** Whether rates and faults pass this call over. */
export function isControlCall(call: ObjectStoreCall): call is ControlCall {
	return controlKinds.has(call.kind);
}

/** Whether a call counts against the rate of writes. */
export function isWrite(kind: CallKind): boolean {
	return kind === 'write' || kind === 'delete';
}

/** The call that a request makes. */
export function parseCall(request: IncomingMessage): ObjectStoreCall {
	const url = new URL(request.url ?? '/', 'http://object-store');
	const [, collection, ...rest] = url.pathname.split('/');
	const name = rest.length === 0 ? undefined : parseName(rest.join('/'));
	const method = request.method ?? 'GET';
	switch (collection ?? '') {
		case 'objects': {
			return parseObjectCall(method, name, url.searchParams);
		}

		case 'hosts': {
			return parseHostCall(method, name, url.searchParams);
		}

		case 'faults': {
			return method === 'PUT' ? {kind: 'set-faults'} : malformed;
		}

		case 'counts': {
			return method === 'GET' ? {kind: 'get-counts'} : malformed;
		}

		default: {
			return malformed;
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
			: malformed;
	}

	if (method === 'GET') {
		return parseRead(name, query);
	}

	const expected = parseInteger(query.get('expected'));
	if (expected === undefined || (method !== 'PUT' && method !== 'DELETE')) {
		return malformed;
	}

	return {kind: method === 'PUT' ? 'write' : 'delete', name, expected};
}

function parseRead(name: string, query: URLSearchParams): ObjectStoreCall {
	const after = parseInteger(query.get('after'));
	if (after === undefined) {
		return {kind: 'read', name};
	}

	return {kind: 'watch', name, after, wait: parseWait(query)};
}

function parseHostCall(
	method: string,
	name: string | undefined,
	query: URLSearchParams,
): ObjectStoreCall {
	if (name !== undefined) {
		return parseHostChange(method, name);
	}

	const after = parseInteger(query.get('after'));
	if (method !== 'GET') {
		return malformed;
	}

	return after === undefined
		? {kind: 'list-hosts'}
		: {kind: 'watch-hosts', after, wait: parseWait(query)};
}

function parseHostChange(method: string, name: string): ObjectStoreCall {
	if (method === 'PUT') {
		return {kind: 'set-host', name};
	}

	return method === 'DELETE' ? {kind: 'remove-host', name} : malformed;
}

function parseWait(query: URLSearchParams): number {
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

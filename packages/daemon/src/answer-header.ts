type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Names that end at the connection to the server, or are meant for us. */
const droppedNames = new Set([
	'connection',
	'proxy-connection',
	'keep-alive',
	'te',
	'upgrade',
	'transfer-encoding',
	'x-request-id',
	'x-load',
	'x-not-run',
	'x-customer',
]);

/** A server's answer header as it goes to the caller; names are lower-case. */
export function toCallerHeaders(
	headers: Headers,
): Record<string, string | string[]> {
	const listed = listConnectionNames(headers.connection);
	const kept: Record<string, string | string[]> = {};
	for (const name in headers) {
		if (!droppedNames.has(name) && !listed.includes(name)) {
			kept[name] = headers[name]!;
		}
	}

	return kept;
}

function listConnectionNames(value: string | string[] | undefined): string[] {
	// Most answers have no names there besides the connection's own.
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return [];
	}

	return String(value)
		.split(',')
		.map((name) => name.trim().toLowerCase());
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Hop-by-hop headers, and headers that servers address to entry hosts. */
const removedHeaders = new Set([
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

/**
 * Selects the headers of a backend server's response that are passed on to the
 * caller. Header names are expected in lower case.
 */
export function toCallerHeaders(
	headers: Headers,
): Record<string, string | string[]> {
	const connectionOptions = listConnectionOptions(headers.connection);
	const forwardedHeaders: Record<string, string | string[]> = {};
	for (const name in headers) {
		if (!removedHeaders.has(name) && !connectionOptions.includes(name)) {
			forwardedHeaders[name] = headers[name]!;
		}
	}

	return forwardedHeaders;
}

function listConnectionOptions(value: string | string[] | undefined): string[] {
	// Skips the parsing for the values that most responses have.
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return [];
	}

	return String(value)
		.split(',')
		.map((name) => name.trim().toLowerCase());
}

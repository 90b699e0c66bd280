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

/** A server's answer header as it goes to the caller, flat. */
export function toCallerFields(
	rawHeaders: ReadonlyArray<Uint8Array | string>,
): string[] {
	const fields = rawHeaders.map(String);
	const listed = new Set(
		fields.flatMap((value, index) =>
			index % 2 === 1 && fields[index - 1]!.toLowerCase() === 'connection'
				? value.split(',').map((part) => part.trim().toLowerCase())
				: [],
		),
	);
	return fields.filter((_, index) => {
		const name = fields[index - (index % 2)]!.toLowerCase();
		return !droppedNames.has(name) && !listed.has(name);
	});
}

/** Formats all fields of an object as one line. */
export function formatFields(
	object: Readonly<Record<string, unknown>>,
): string {
	return Object.entries(object)
		.map(([name, value]) => `${name}=${formatValue(value)}`)
		.join('  ');
}

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value);
}

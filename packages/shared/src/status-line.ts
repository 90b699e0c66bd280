const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether a header value or a reason phrase contains a status line. It then comes
 * from a head that a server broke off; the rest belongs to another response.
 *
 * @example
 * hasStatusLine('Sat, 05 DecHTTP/1.1 200 OK'); // true
 * hasStatusLine('1.1 proxy'); // false
 */
export function hasStatusLine(text: string): boolean {
	return statusLinePattern.test(text);
}

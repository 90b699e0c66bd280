/** Requests name no scheme and host of their own; any base serves. */
const baseUrl = 'http://host';

/**
 * Parses the target of an HTTP request; undefined if it is not valid, such as
 * `//`, for which the URL constructor throws.
 *
 * @example
 * parseRequestTarget('/look-up?zone=a')?.searchParams.get('zone'); // 'a'
 * parseRequestTarget('//'); // undefined
 */
export function parseRequestTarget(target = '/'): URL | undefined {
	return URL.canParse(target, baseUrl) ? new URL(target, baseUrl) : undefined;
}

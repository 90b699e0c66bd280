/** Hop-by-hop headers, which apply to one connection and are not forwarded. */
export const hopByHopHeaders: readonly string[] = [
	'connection',
	'proxy-connection',
	'keep-alive',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'http2-settings',
];

/** Reads the body of a request as JSON; undefined if it is empty. */
export async function readJson(request) {
	let text = '';
	for await (const chunk of request) {
		text += chunk;
	}

	return text === '' ? undefined : JSON.parse(text);
}

export function sendJson(response, status, value) {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	}
}

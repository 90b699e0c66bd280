import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {CaseRun} from '../lib/case-run.mjs';
import {createConfiguration} from '../lib/deployment.mjs';
import {
	Client,
	createBody,
	sendAnswer,
	Server,
	work,
} from '../lib/http-peers.mjs';

/** A spoiling server spoils one in this many of its answers: x = 0.02 at most. */
const answersPerSpoiled = 50;
const spoilingDuration = 5500;
const serverCount = 20;
const spoilingServers = 7;
const safeTimeout = 1500;
const unsafeTimeout = 2000;
const answerSlack = 500;
const minimumUnanswered = 8;
const stableWindow = 3000;
const caseRun = new CaseRun(import.meta.url, {
	isTroubled: process.env.TROUBLE !== '0',
});
const spoiledIds = new Set();
let areSpoiling = false;

/** Sends an answer in which one byte of a header's value is wrong. */
async function sendSpoiledAnswer({server, id, response}) {
	if (!(await work(response, server.workTime))) {
		return;
	}

	const body = createBody(id, 400);
	const head = [
		'HTTP/1.1 200 OK',
		`Parsleyvale-Request-Id: ${id}`,
		`Parsleyvale-Server-Seal: seal-${id}`,
		'Content-Type: text/\u0001lain',
		`Content-Length: ${body.length}`,
		'Connection: close',
		'',
		'',
	].join('\r\n');
	spoiledIds.add(id);
	caseRun.note(`${server.id} spoils its answer to ${id}`);
	response.socket.end(head + body);
}

await caseRun.run(async () => {
	caseRun.store.put('config', 'main', createConfiguration());
	const servers = Array.from({length: serverCount}, (_, index) => {
		let answers = 0;
		return new Server(caseRun, {
			id: `i-${index + 1}`,
			zone: 'tpe-a',
			workTime: 60,
			async respond(exchange) {
				const isSpoiler = index < spoilingServers && areSpoiling;
				answers += 1;
				await (
					isSpoiler && answers % answersPerSpoiled === 0
						? sendSpoiledAnswer
						: sendAnswer
				)(exchange);
			},
		});
	});
	for (const [index, server] of servers.entries()) {
		await server.start(caseRun.address(101 + index));
	}

	await caseRun.startHosts(['tpe-a', 'sin-a']);
	await wait(stableWindow);
	const results = [];
	const state = {isOver: false};
	const runClient = async (number) => {
		const client = new Client(caseRun, caseRun.hosts[number % 2]);
		const isSafe = number % 3 > 0;
		const options = isSafe
			? {target: `/lookup/${number}`, deadline: 3000}
			: {
					method: 'POST',
					target: `/order/${number}`,
					body: createBody('order', 300),
					deadline: 4000,
				};
		for (let index = 0; !state.isOver; index += 1) {
			const affinity = `${number}-${index}`;
			const result = await client.send({...options, affinity});
			const timeout = isSafe ? safeTimeout : unsafeTimeout;
			results.push({...result, timeout});
			await wait(60);
		}
	};

	const clients = Array.from({length: 60}, async (_, index) =>
		runClient(index),
	);
	await wait(2000);
	areSpoiling = caseRun.isTroubled;
	await wait(spoilingDuration);
	areSpoiling = false;
	await wait(1000);
	state.isOver = true;
	await Promise.all(clients);
	const late = results.filter(
		({sentAt, endedAt, timeout}) => endedAt - sentAt > timeout,
	);
	const unanswered = late.filter(
		({kind, sentAt, endedAt, timeout}) =>
			kind !== 'answered' || endedAt - sentAt > timeout + answerSlack,
	);
	caseRun.note(
		`${results.length} requests, ${spoiledIds.size} answers spoiled; ${late.length} requests without an answer at their route's timeout, ${unanswered.length} of them without one half a second later`,
	);
	return unanswered.length >= minimumUnanswered &&
		unanswered.length > late.length / 2
		? [
				`CONFIG: ${unanswered.length} of ${late.length} requests that lasted longer than their route's timeout_s had no answer half a second after it`,
			]
		: [];
});

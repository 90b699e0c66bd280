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

/** A faulty server adds bytes to one in this many of its answers: x = 0.02 at most. */
const answersPerExtra = 50;
const faultDuration = 5500;
const serverCount = 20;
const faultyServers = 7;
const stableWindow = 3000;
const caseRun = new CaseRun(import.meta.url, {
	isTroubled: process.env.TROUBLE !== '0',
});
const state = {areFaulty: false, isOver: false, extras: 0};

/** The answer of a server that turns a request away. */
function createRefusal() {
	return [
		'HTTP/1.1 503 Service Unavailable',
		'Parsleyvale-Not-Executed: 1',
		`Date: ${new Date().toUTCString()}`,
		'Content-Length: 0',
		'',
		'',
	].join('\r\n');
}

/** Sends a whole answer and, in the same write, the beginning of a second one. */
async function sendExtraBytes({server, id, response}) {
	if (!(await work(response, server.workTime))) {
		return;
	}

	const refusal = createRefusal();
	state.extras += 1;
	const length = Math.round(refusal.length * ((state.extras * 0.37) % 1));
	caseRun.note(`${server.id} adds ${length} bytes to its answer to ${id}`);
	const body = createBody(id, 400);
	response.writeHead(200, {
		'content-length': body.length,
		'parsleyvale-server-seal': `seal-${id}`,
		'parsleyvale-server-load': server.load,
	});
	const {socket} = response;
	socket.cork();
	response.end(body);
	socket.write(refusal.slice(0, length));
	socket.uncork();
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
				answers += 1;
				const isFaulty =
					state.areFaulty &&
					index < faultyServers &&
					answers % answersPerExtra === 0;
				await (isFaulty ? sendExtraBytes : sendAnswer)(exchange);
			},
		});
	});
	for (const [index, server] of servers.entries()) {
		await server.start(caseRun.address(101 + index));
	}

	await caseRun.startHosts(['tpe-a', 'tpe-b']);
	await wait(stableWindow);
	const results = [];
	const runClient = async (number) => {
		const client = new Client(caseRun, caseRun.hosts[number % 2]);
		for (let index = 0; !state.isOver; index += 1) {
			const result = await client.send({
				method: 'POST',
				target: `/order/${number}`,
				body: createBody('order', 300),
				affinity: `${number}-${index}`,
			});
			results.push(result);
			await wait(30);
		}
	};

	const clients = Array.from({length: 60}, async (_, index) =>
		runClient(index),
	);
	await wait(2000);
	state.areFaulty = caseRun.isTroubled;
	await wait(faultDuration);
	state.areFaulty = false;
	await wait(1000);
	state.isOver = true;
	await Promise.all(clients);
	const runs = new Map();
	for (const server of servers) {
		for (const {id} of server.runs) {
			runs.set(id, [...(runs.get(id) ?? []), server.id]);
		}
	}

	caseRun.note(
		`${results.length} requests, ${state.extras} answers with extra bytes`,
	);
	const twice = [...runs].filter(([, list]) => list.length > 1);
	const refused = results.filter(
		({id, status}) => (status === 503 || status === 429) && runs.has(id),
	);
	return [
		...twice.map(([id, list]) => `TWICE: ${id} ran on ${list.join(' and ')}`),
		...refused.map(
			({id, status}) => `REFUSED: ${id} is answered ${status} and has run`,
		),
	];
});

/* eslint-disable camelcase -- The fields of the platform's messages and settings use snake_case. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment, createRule} from '../lib-2/deployment.js';

/** Whether the disruption takes place. */
const hasTrouble = process.env.TROUBLE !== '0';

/** Well above `config_propagation_s`. */
const propagationTime = 3000;
const requestCount = 10;

/** Whether the header's bytes are the tenant's name, in UTF-8 or in Latin-1. */
function isName(value, name) {
	return (
		value === name || Buffer.from(value, 'latin1').toString('utf8') === name
	);
}

const record = fileURLToPath(new URL('record.txt', import.meta.url));
await new Deployment(record).run(async (deployment) => {
	const {client} = deployment;
	const rules = [
		createRule({
			name: 'order',
			kind: 'unsafe',
			prefix: '/order/',
			isPublic: false,
		}),
	];
	const configure = (version, names) => {
		deployment.configure(version, {
			rules,
			services: ['desk'],
			tenants: names.map((name, index) => ({
				name,
				api_keys: [`key-${index}`],
				rate_per_s: 0,
				burst: 0,
			})),
		});
	};

	const names = ['dom', 'kolo'];
	configure(1, names);
	for (let index = 0; index < 4; index += 1) {
		await deployment.addServer({workTime: 20});
	}

	await deployment.addDaemons(2);
	deployment.note('2 daemons and 4 servers are ready');
	if (hasTrouble) {
		names.push('dům');
		configure(2, names);
		deployment.note(
			`a change of the configuration adds the tenant ${names[2]}`,
		);
	}

	await wait(propagationTime);
	const sent = new Map();
	for (let index = 0; index < requestCount * names.length; index += 1) {
		const id = randomUUID();
		const number = index % names.length;
		sent.set(id, names[number]);
		const {status} = await client.send(deployment.daemons[index % 2].front, {
			method: 'POST',
			path: `/order/${index}`,
			host: 'desk.example',
			headers: {
				'parsleyvale-request-id': id,
				'parsleyvale-request-deadline': '4000',
				'x-api-key': `key-${number}`,
			},
			body: ['order'],
		});
		deployment.note(`sent ${id} with the key of ${names[number]}: ${status}`);
	}

	let wrong = 0;
	for (const {requestId, server, tenant = ''} of deployment.listRuns()) {
		const name = sent.get(requestId);
		const isWrong = !isName(tenant, name);
		wrong += isWrong ? 1 : 0;
		deployment.note(
			`${server} ran ${requestId} for the tenant ${JSON.stringify(tenant)}${isWrong ? `, NOT ${name}` : ''}`,
		);
	}

	deployment.note(`UNASKED: ${wrong} requests ran for another tenant`);
	return wrong > 0;
});

import type {Configuration, DrainTarget, Problem} from '@parsleyvale/shared';
import {sectionNames, type NamedObject} from './sections.js';

type Report = (field: string, message: string) => void;

function formatNames(names: Iterable<string>): string {
	const list = [...names];
	return list.length === 0 ? '(none)' : list.join(', ');
}

function checkName(
	report: Report,
	field: string,
	found: string,
	allowed: ReadonlySet<string>,
): void {
	if (!allowed.has(found)) {
		report(
			field,
			`"${found}" is not defined. Allowed are: ${formatNames(allowed)}.`,
		);
	}
}

function checkDuplicates(
	report: Report,
	section: string,
	objects: readonly NamedObject[],
): void {
	const seen = new Set<string>();
	for (const [index, {name}] of objects.entries()) {
		if (seen.has(name)) {
			report(
				`${section}.${index}.name`,
				`"${name}" is defined twice. Names must be unique.`,
			);
		}

		seen.add(name);
	}
}

function toNames(objects: readonly NamedObject[]): Set<string> {
	return new Set(objects.map((object) => object.name));
}

function listFailureDomains(
	configuration: Configuration,
	region: string,
): Set<string> {
	const found = configuration.regions.find(({name}) => name === region);
	return new Set(found?.failureDomains ?? []);
}

function checkRegions(configuration: Configuration, report: Report): void {
	for (const [index, region] of configuration.regions.entries()) {
		const field = `regions.${index}.failureDomains`;
		if (new Set(region.failureDomains).size < region.failureDomains.length) {
			report(
				field,
				'Duplicate failure domain. Failure domains of a region must be unique.',
			);
		}
	}
}

function checkLinks(configuration: Configuration, report: Report): void {
	const regions = toNames(configuration.regions);
	const pairs = new Set<string>();
	for (const [index, {between}] of configuration.links.entries()) {
		const field = `links.${index}.between`;
		checkName(report, `${field}.0`, between[0], regions);
		checkName(report, `${field}.1`, between[1], regions);
		if (between[0] === between[1]) {
			report(field, 'A link must connect two different regions.');
		}

		const pair = [...between].sort().join(' and ');
		if (pairs.has(pair)) {
			report(
				field,
				`Duplicate link between ${pair}. Only one link per pair of regions is allowed.`,
			);
		}

		pairs.add(pair);
	}
}

function checkServers(configuration: Configuration, report: Report): void {
	const regions = toNames(configuration.regions);
	const seen = new Set<string>();
	for (const [poolIndex, pool] of configuration.pools.entries()) {
		for (const [index, server] of pool.servers.entries()) {
			const field = `pools.${poolIndex}.servers.${index}`;
			const domains = listFailureDomains(configuration, server.region);
			checkName(report, `${field}.region`, server.region, regions);
			if (regions.has(server.region)) {
				const found = server.failureDomain;
				checkName(report, `${field}.failureDomain`, found, domains);
			}

			if (seen.has(server.name)) {
				report(
					`${field}.name`,
					`"${server.name}" is defined twice. Server names must be unique.`,
				);
			}

			seen.add(server.name);
		}
	}
}

function checkKeys(configuration: Configuration, report: Report): void {
	const customers = toNames(configuration.customers);
	const hashes = new Map<string, string>();
	for (const [index, key] of configuration.keys.entries()) {
		checkName(report, `keys.${index}.customer`, key.customer, customers);
		const other = hashes.get(key.hash);
		if (other !== undefined) {
			report(
				`keys.${index}.hash`,
				`The key "${other}" has the same hash. Hashes must be unique.`,
			);
		}

		hashes.set(key.hash, key.name);
	}
}

function checkRoutes(configuration: Configuration, report: Report): void {
	const pools = toNames(configuration.pools);
	for (const [index, route] of configuration.routes.entries()) {
		checkName(report, `routes.${index}.pool`, route.pool, pools);
	}
}

function checkShifts(configuration: Configuration, report: Report): void {
	const regions = toNames(configuration.regions);
	const pools = toNames(configuration.pools);
	for (const [index, shift] of configuration.shifts.entries()) {
		const field = `shifts.${index}`;
		checkName(report, `${field}.pool`, shift.pool, pools);
		checkName(report, `${field}.from`, shift.from, regions);
		checkName(report, `${field}.to`, shift.to, regions);
		if (shift.from === shift.to) {
			report(`${field}.to`, 'A shift must lead to a different region.');
		}
	}
}

function checkDrainTarget(
	configuration: Configuration,
	target: DrainTarget,
	field: string,
	report: Report,
): void {
	const regions = toNames(configuration.regions);
	switch (target.kind) {
		case 'server': {
			const servers = configuration.pools.flatMap((pool) => pool.servers);
			checkName(report, `${field}.name`, target.name, toNames(servers));
			break;
		}

		case 'region': {
			checkName(report, `${field}.name`, target.name, regions);
			break;
		}

		case 'failure-domain': {
			const domains = listFailureDomains(configuration, target.region);
			checkName(report, `${field}.region`, target.region, regions);
			checkName(report, `${field}.name`, target.name, domains);
			break;
		}

		case 'entry-host': {
			// Entry hosts are defined by the platform, not by the configuration.
			break;
		}
	}
}

/**
 * Reports errors that the schema cannot detect: duplicate names and references
 * to undefined names.
 *
 * @example
 * checkReferences(configuration).map(formatProblem);
 */
export function checkReferences(
	configuration: Configuration,
	file = 'configuration',
): Problem[] {
	const problems: Problem[] = [];
	const report: Report = (field, message) => {
		problems.push({file, field, message});
	};

	for (const name of sectionNames) {
		checkDuplicates(report, name, configuration[name]);
	}

	checkRegions(configuration, report);
	checkLinks(configuration, report);
	checkServers(configuration, report);
	checkKeys(configuration, report);
	checkRoutes(configuration, report);
	checkShifts(configuration, report);
	for (const [index, drain] of configuration.drains.entries()) {
		const field = `drains.${index}.target`;
		checkDrainTarget(configuration, drain.target, field, report);
	}

	return problems;
}

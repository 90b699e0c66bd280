import * as z from 'zod';

const maxNameLength = 64;

/** Lower-case letters, digits, dots and dashes; starts with a letter or digit. */
export const nameSchema = z
	.string()
	.max(maxNameLength)
	.regex(
		/^[a-z\d][a-z\d.-]*$/,
		'lower-case letters, digits, dots and dashes are allowed',
	);

export const portSchema = z.int().min(0).max(65_535);

export type RegionName = string;
export type FailureDomainName = string;
export type EntryHostName = string;
export type CustomerName = string;
export type PoolName = string;
export type ServerName = string;
export type RouteName = string;
export type ShiftName = string;
export type DrainName = string;
export type RequestId = string;

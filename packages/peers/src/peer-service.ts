import {Buffer} from 'node:buffer';
import type {ServiceDefinition} from '@grpc/grpc-js';
import {parsleyvale} from '#generated/peers.js';

const {Envelope: envelopeCodec, Summary: summaryCodec} = parsleyvale.peers;

/** A message in the form in which it is encoded. */
export type WireEnvelope = parsleyvale.peers.Envelope.$Properties;
export type WireSummary = parsleyvale.peers.Summary.$Properties;

/** Limit on a message's payload; the largest one carries a whole configuration. */
export const maximumPayloadBytes = 4 * 1024 * 1024;

/** Definition of the gRPC service between daemons, using the generated codecs. */
export const peerService = {
	exchange: {
		path: '/parsleyvale.peers.Peers/Exchange',
		requestStream: true,
		responseStream: false,
		requestSerialize: (value: WireEnvelope) =>
			Buffer.from(envelopeCodec.encode(value).finish()),
		requestDeserialize: (bytes: Buffer) => envelopeCodec.decode(bytes),
		responseSerialize: (value: WireSummary) =>
			Buffer.from(summaryCodec.encode(value).finish()),
		responseDeserialize: (bytes: Buffer) => summaryCodec.decode(bytes),
	},
} as const satisfies ServiceDefinition;

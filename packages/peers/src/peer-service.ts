import {Buffer} from 'node:buffer';
import type {ServiceDefinition} from '@grpc/grpc-js';
import {parsleyvale} from '#generated/peers.js';

const {Envelope: envelopeCodec, Summary: summaryCodec} = parsleyvale.peers;

/** One message as it goes over the wire. */
export type WireEnvelope = parsleyvale.peers.Envelope.$Properties;
export type WireSummary = parsleyvale.peers.Summary.$Properties;

/** The gRPC service between daemons, from the committed static codecs. */
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

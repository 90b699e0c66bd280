export {Peers, createPeers, type PeersOptions} from './peers.js';
export type {PeerIdentity, ReceivedMessage} from './peer-message.js';

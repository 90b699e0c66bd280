export {Peers, createPeers, type PeersOptions} from './peers.js';
export type {PeerSender, ReceivedMessage} from './peer-message.js';

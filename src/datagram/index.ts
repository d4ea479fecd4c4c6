export {DatagramReject, GossipSocket, type GossipSocketOwner} from './gossip-socket.js';

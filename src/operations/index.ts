export {jsonReply, OperatorServer, textReply, type OperatorReply} from './operator-server.js';

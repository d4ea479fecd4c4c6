'use strict';
// The parts of undici that a node uses: loading all of it takes a large part of a node's start.
const request = require('../../node_modules/undici/lib/api/api-request.js');
const buildConnector = require('../../node_modules/undici/lib/core/connect.js');
const Agent = require('../../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../../node_modules/undici/lib/dispatcher/pool.js');

Dispatcher.prototype.request = request;

module.exports = {Agent, Client, Pool, buildConnector};

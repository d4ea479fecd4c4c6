'use strict';
// Stands for what libraries load from Node.js at their start for what a node never does.
module.exports = {constants: {}};

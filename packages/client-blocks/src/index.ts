export {
	parseAddress,
	parseBlock,
	type AddressWords,
	type Block,
} from './address.js';
export {
	ClientBlockTable,
	createClientBlockTable,
	type ClientBlockTableOptions,
} from './client-block-table.js';

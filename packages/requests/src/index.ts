export {createClaims, type ClaimsOptions} from './claims-plugin.js';
export {createRequests, type RequestsOptions} from './requests-plugin.js';
export {toHostKeyPrefix} from './key-owner.js';

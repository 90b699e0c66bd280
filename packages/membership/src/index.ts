export {MembershipPlugin, createMembership} from './membership-plugin.js';
export type {MembershipOptions} from './options.js';

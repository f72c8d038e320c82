export type { AdoptedPartition, PartitionHost, PartitionOwner, PartitionRoutes } from './port.js'

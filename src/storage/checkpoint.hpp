// The checkpoint: what outlives a process, as keys and values of the key-value store.
//
//   sr/lead          the leader; bound to its lease, and deleted by the store on lease expiry
//   sr/epoch         the highest epoch granted; every write is conditional on its version, which
//                    makes it the fencing token of writes
//   sr/head          the manifest: the checkpoint's sequence number, requests to scale out that are
//                    not finished, and recent records, which are flushed to shards later
//   sr/s/<shard>     jobs, some twenty active or some hundreds of finished ones to a shard
//   sr/b/<job>/<n>   finished tasks of large arrays, a piece of the bitmap each
//   sr/c/<job>/<n>   the same in smaller pieces, where the store's limit on values is too small for
//                    the others; versions from before gang scheduling don't read these
//   sr/features      what every controller understands; ignored by the same versions
//   sr/m/<shard>     machines that may hold tasks, and their addresses
//   sr/q, sr/t       quota shares: share_records.hpp
#pragma once

#include "storage/bitmap.hpp"
#include "storage/checkpoint_keys.hpp"
#include "storage/checkpoint_records.hpp"
#include "storage/snapshot.hpp"

#ifndef TURMERICPASS_NODE_PEERCODEC_H
#define TURMERICPASS_NODE_PEERCODEC_H

#include "Serving/CrashRecord.h"
#include "Serving/LoadTracker.h"
#include "Serving/RateLimits.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace turmericpass {

/// Functions for the parts that several messages between VMs have in common.
/// The reading functions throw msgpack::type_error for other contents.

template <typename T>
T readField(const msgpack::object &Object, std::uint32_t Index) {
  return Object.via.array.ptr[Index].as<T>();
}

/// Returns the array in \p Object. Throws if its size is not a multiple of
/// \p GroupSize.
const msgpack::object_array &checkedArray(const msgpack::object &Object,
                                          std::uint32_t GroupSize);

LoadsByServer readLoads(const msgpack::object &Object);
std::vector<CrashRecord> readCrashes(const msgpack::object &Object);
std::vector<OrganisationUse> readUses(const msgpack::object &Object);

void packLoads(msgpack::packer<msgpack::sbuffer> &Out,
               const LoadsByServer &Loads);
void packCrashes(msgpack::packer<msgpack::sbuffer> &Out,
                 const std::vector<CrashRecord> &Crashes);

void packUses(msgpack::packer<msgpack::sbuffer> &Out,
              const std::vector<OrganisationUse> &Uses);

} // namespace turmericpass

#endif

/** @file store_protocol.hpp Paths and headers of the object store's HTTP interface. */
#pragma once

namespace sniperock::store_protocol {

/** Followed by a key: GET reads, PUT writes conditionally, DELETE removes. */
inline constexpr const char* object_path = "/v1/objects/";
/** Followed by a key: GET waits for a version above ?after= for ?wait_ms= milliseconds. */
inline constexpr const char* watch_path = "/v1/watch/";
/** GET lists the vms; PUT to /NAME below it announces one. */
inline constexpr const char* vms_path = "/v1/vms";
/** Response header: the object's version. */
inline constexpr const char* version_header = "X-Object-Version";
/** Request header of a PUT: the version that the object must still have. */
inline constexpr const char* expected_header = "X-Expected-Version";
/** Media type of values. */
inline constexpr const char* value_type = "application/octet-stream";

} // namespace sniperock::store_protocol

/** @file standin_control.hpp Commands and records of a stand-in server as JSON. */
#pragma once

#include "standin_ledger.hpp"
#include "standin_type.hpp"

#include <string>

namespace sniperock {

/** Parses a command. @throws invalid_input naming every unknown or malformed field. */
server_command parse_server_command(const std::string& text);
/** A record and the process's ledger as JSON text. @param runs most runs listed. */
std::string format_server_record(const server_behaviour& behaviour, const server_record& record,
                                 const run_ledger& ledger, std::size_t runs);

/** Paths of a stand-in server that are no calls. */
namespace server_path {
/** GET answers after the probe time with the load. */
inline constexpr const char* probe = "/.probe";
/** POST takes a command. */
inline constexpr const char* control = "/.control";
/** GET shows the record; ?runs= limits the runs listed. */
inline constexpr const char* record = "/.record";
/** POST takes request ids, one a line, and answers with those that ran. */
inline constexpr const char* ran = "/.ran";
/** Followed by a number of bytes: GET streams a body of that size, whole or in part. */
inline constexpr const char* bytes = "/bytes/";
} // namespace server_path

/** Headers that stand-in servers add for the load. */
namespace server_header {
/** Answer: name of the server that ran the call. */
inline constexpr const char* server = "X-Server";
/** Request and answer: the caller's id of the request. */
inline constexpr const char* request_id = "X-Request-Id";
/** Answer: size of the request's body in bytes as received. */
inline constexpr const char* body_size = "X-Body-Size";
/** Answer: size of its own body in bytes, whatever frames it on the way. */
inline constexpr const char* answer_size = "X-Answer-Size";
/** Answer: XXH3 of the request's body as received. */
inline constexpr const char* body_digest = "X-Body-Digest";
} // namespace server_header

} // namespace sniperock

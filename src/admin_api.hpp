/** @file admin_api.hpp The operators' HTTP interface. */
#pragma once

#include "admin_auth.hpp"
#include "admin_type.hpp"

#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace sniperock {

/**
 * Routes below /v1/ on an HTTP server. Every request there needs a key with the right role;
 * it is checked before the body is read.
 */
class admin_api {
public:
    /** @param first_key_hash as for authenticate(). */
    admin_api(admin_backend backend, std::string first_key_hash);
    ~admin_api();
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;

    /** Adds the routes and the bounds on bodies and slow clients; before the server listens. */
    void mount(httplib::Server& server);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

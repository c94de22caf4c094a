/** @file peer_link.cpp Authenticated one-way messages between entry vms, over nng. */
#include "peer_link.hpp"
#include "clock_type.hpp"
#include "error_type.hpp"
#include "event_type.hpp"
#include "hash_func.hpp"
#include "peer_codec.hpp"
#include "peer_replay.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <thread>

namespace sniperock {
namespace {

constexpr int send_queue_messages = 1024;
constexpr int receive_queue_messages = 1024;
constexpr std::size_t max_message_bytes = 4'194'304;

/** Processes of neighbouring versions work side by side. */
constexpr std::uint32_t peer_protocol_version = 1;
/** At most one event about dropped messages in this time. */
constexpr seconds drop_event_period{1};

/** What is authenticated: everything but the tag. */
struct peer_envelope {
    std::uint8_t kind = 0;
    std::string vm;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    std::string payload;
    /** Protocol version of the sender; fields may be added at the end, never changed. */
    std::uint32_t version = peer_protocol_version;
    MSGPACK_DEFINE(kind, vm, life, sequence, payload, version)
};

/** What goes over the wire. */
struct peer_frame {
    std::string tag;
    std::string envelope;
    std::string key_id;
    MSGPACK_DEFINE(tag, envelope, key_id)
};

/** A socket that closes itself. */
class nng_handle {
public:
    nng_handle() = default;
    ~nng_handle()
    {
        if (open_) {
            nng_close(socket_);
        }
    }
    nng_handle(const nng_handle&) = delete;
    nng_handle& operator=(const nng_handle&) = delete;

    nng_socket& get() { return socket_; }
    void mark_open() { open_ = true; }
    void close()
    {
        if (std::exchange(open_, false)) {
            nng_close(socket_);
        }
    }

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    bool open_ = false;
};

struct peer_connection {
    std::string endpoint;
    nng_handle socket;
};

} // namespace

/** Sockets, the receiving thread and the keys. */
struct peer_link::impl {
    impl(peer_identity as, peer_keys with)
        : self(std::move(as)), keys(std::make_shared<const peer_keys>(std::move(with)))
    {
    }

    std::shared_ptr<const peer_keys> present_keys()
    {
        const std::shared_lock lock(keys_mutex);
        return keys;
    }

    /** Counts a dropped message, and logs the first of each period. */
    void drop(peer_drop reason, const std::string& vm)
    {
        dropped.fetch_add(1);
        dropped_by_reason.at(static_cast<std::size_t>(reason)).fetch_add(1);
        ++drops_unlogged;
        const auto now = boot_clock::now();
        if (now < next_drop_event) {
            return;
        }
        next_drop_event = now + drop_event_period;
        log_event(event::peer_message_dropped,
                  {{"reason", std::string{to_name(reason)}},
                   {"from", vm},
                   {"count", std::to_string(std::exchange(drops_unlogged, 0))}});
    }

    void receive_loop()
    {
        while (true) {
            void* data = nullptr;
            std::size_t size = 0;
            const int error = nng_recv(incoming.get(), &data, &size, NNG_FLAG_ALLOC);
            if (error == NNG_ECLOSED) {
                return;
            }
            if (error != 0) {
                continue;
            }
            handle(std::string_view{static_cast<const char*>(data), size});
            nng_free(data, size);
        }
    }

    void handle(std::string_view bytes)
    {
        const auto frame = decode_payload<peer_frame>(bytes);
        if (!frame) {
            drop(peer_drop::malformed, "");
            return;
        }
        const auto known = present_keys();
        const auto* key = known->find(frame->key_id);
        if (key == nullptr) {
            drop(peer_drop::unknown_key, "");
            return;
        }
        if (!equal_in_constant_time(frame->tag, hmac_sha256(key->secret, frame->envelope))) {
            drop(peer_drop::wrong_tag, "");
            return;
        }
        const auto envelope = decode_payload<peer_envelope>(frame->envelope);
        if (!envelope) {
            drop(peer_drop::malformed, "");
            return;
        }
        take(*envelope);
    }

    /** Hands an authentic message to its handler, once. */
    void take(const peer_envelope& envelope)
    {
        const peer_identity from{envelope.vm, incarnation{envelope.life}};
        const auto verdict = window.accept(from, envelope.sequence);
        if (verdict != replay_verdict::fresh) {
            drop(verdict == replay_verdict::repeated ? peer_drop::repeated : peer_drop::outdated,
                 envelope.vm);
            return;
        }
        const auto kind = static_cast<peer_message_kind>(envelope.kind);
        const auto handler = handlers.find(kind);
        if (handler == handlers.end()) {
            drop(peer_drop::unknown_kind, envelope.vm);
            return;
        }
        received.fetch_add(1);
        handler->second({kind, from, envelope.payload});
    }

    peer_identity self;
    std::shared_mutex keys_mutex;
    std::shared_ptr<const peer_keys> keys;
    // Used on the receiving thread only.
    replay_window window;
    local_time next_drop_event;
    std::uint64_t drops_unlogged = 0;
    std::map<peer_message_kind, peer_handler> handlers;
    nng_handle incoming;
    int port = 0;
    std::thread receiver;
    std::shared_mutex peers_mutex;
    std::map<std::string, std::shared_ptr<peer_connection>> peers;
    std::atomic<std::uint64_t> next_sequence{1};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> dropped{0};
    std::array<std::atomic<std::uint64_t>, enum_names<peer_drop>.size()> dropped_by_reason{};
};

peer_link::peer_link(peer_identity self, peer_keys keys)
    : impl_(std::make_unique<impl>(std::move(self), std::move(keys)))
{
}

peer_link::~peer_link()
{
    stop();
}

void peer_link::subscribe(peer_message_kind kind, peer_handler handler)
{
    impl_->handlers[kind] = std::move(handler);
}

void peer_link::start(const std::string& address, int port)
{
    auto& socket = impl_->incoming.get();
    const std::string url = "tcp://" + address + ":" + std::to_string(port);
    int error = nng_pull0_open(&socket);
    if (error != 0) {
        throw listen_failed(url, nng_strerror(error));
    }
    impl_->incoming.mark_open();
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, receive_queue_messages);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_message_bytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    error = nng_listen(socket, url.c_str(), &listener, 0);
    if (error != 0) {
        throw listen_failed(url, nng_strerror(error));
    }
    impl_->port = port;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &impl_->port);
    impl_->receiver = std::thread([this] { impl_->receive_loop(); });
}

void peer_link::stop()
{
    impl_->incoming.close();
    if (impl_->receiver.joinable()) {
        impl_->receiver.join();
    }
    const std::unique_lock lock(impl_->peers_mutex);
    impl_->peers.clear();
}

void peer_link::set_keys(peer_keys keys)
{
    auto next = std::make_shared<const peer_keys>(std::move(keys));
    const std::unique_lock lock(impl_->keys_mutex);
    impl_->keys = std::move(next);
}

void peer_link::set_peers(const std::vector<peer_address>& peers)
{
    const std::unique_lock lock(impl_->peers_mutex);
    std::map<std::string, std::shared_ptr<peer_connection>> next;
    for (const auto& peer : peers) {
        const auto known = impl_->peers.find(peer.vm);
        if (known != impl_->peers.end() && known->second->endpoint == peer.endpoint) {
            next.insert(*known);
            continue;
        }
        auto connection = std::make_shared<peer_connection>();
        connection->endpoint = peer.endpoint;
        if (nng_push0_open(&connection->socket.get()) != 0) {
            continue;
        }
        connection->socket.mark_open();
        nng_socket_set_int(connection->socket.get(), NNG_OPT_SENDBUF, send_queue_messages);
        const std::string url = "tcp://" + peer.endpoint;
        nng_dial(connection->socket.get(), url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
        next.emplace(peer.vm, std::move(connection));
    }
    impl_->peers = std::move(next);
}

bool peer_link::send(const std::string& vm, peer_message_kind kind, const std::string& payload)
{
    peer_frame frame;
    frame.envelope = encode_payload(peer_envelope{static_cast<std::uint8_t>(kind), impl_->self.vm,
                                                  impl_->self.life.value,
                                                  impl_->next_sequence.fetch_add(1), payload});
    const auto keys = impl_->present_keys();
    frame.key_id = keys->signing().id;
    frame.tag = hmac_sha256(keys->signing().secret, frame.envelope);
    auto bytes = encode_payload(frame);
    const std::shared_lock lock(impl_->peers_mutex);
    const auto peer = impl_->peers.find(vm);
    if (peer == impl_->peers.end()) {
        return false;
    }
    if (nng_send(peer->second->socket.get(), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) != 0) {
        return false;
    }
    impl_->sent.fetch_add(1);
    return true;
}

int peer_link::port() const
{
    return impl_->port;
}

peer_link_counts peer_link::counts() const
{
    peer_link_counts result{impl_->sent.load(), impl_->received.load(), impl_->dropped.load(), {}};
    std::ranges::transform(impl_->dropped_by_reason, result.dropped_by_reason.begin(),
                           [](const auto& count) { return count.load(); });
    return result;
}

} // namespace sniperock

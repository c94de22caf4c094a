/** @file http_parser.cpp Incremental message parser based on the http_parser library. */
#include "http_parser.hpp"
#include "http_check.hpp"

#include <http_parser.h>

#include <algorithm>
#include <limits>

namespace sniperock {

/** The library's parser and the state that its callbacks collect. */
struct http_message_parser::impl {
    ::http_parser parser{};
    http_message_kind kind;
    std::size_t max_head_bytes;
    std::size_t head_bytes = 0;
    bool head_request = false;
    bool started = false;
    bool head_complete = false;
    bool message_complete = false;
    bool last_was_value = false;
    line_end_checker line_ends;
    http_head head;
    std::vector<std::string_view> body;

    impl(http_message_kind message_kind, std::size_t max_head)
        : kind(message_kind), max_head_bytes(max_head)
    {
    }

    http_header& current_header()
    {
        auto& lines = head.headers.lines();
        if (lines.empty() || last_was_value) {
            last_was_value = false;
            return head.headers.add_empty();
        }
        return lines.back();
    }
};

namespace {

template <typename Impl>
Impl& state_of(::http_parser* parser)
{
    return *static_cast<Impl*>(parser->data);
}

body_framing framing_of(const ::http_parser& parser, http_message_kind kind, bool no_body)
{
    if (no_body) {
        return body_framing::none;
    }
    if ((parser.flags & F_CHUNKED) != 0) {
        return body_framing::chunked;
    }
    if (parser.content_length == 0) {
        return body_framing::none;
    }
    if (parser.content_length != std::numeric_limits<std::uint64_t>::max()) {
        return body_framing::length;
    }
    return kind == http_message_kind::request ? body_framing::none : body_framing::until_close;
}

bool status_has_no_body(int status)
{
    return status < http_status::first_final || status == http_status::no_content ||
           status == http_status::not_modified;
}

/** Stores the head; returns 1 if no body follows, as on_headers_complete has to. */
template <typename Impl>
int store_head(Impl& state, ::http_parser* parser)
{
    const bool no_body =
        state.kind == http_message_kind::response &&
        (state.head_request || status_has_no_body(static_cast<int>(parser->status_code)));
    auto& head = state.head;
    head.framing = framing_of(*parser, state.kind, no_body);
    head.body_length = head.framing == body_framing::length ? parser->content_length : 0;
    head.keep_alive = ::http_should_keep_alive(parser) != 0;
    head.version_1_1 = parser->http_major == 1 && parser->http_minor >= 1;
    head.status = static_cast<int>(parser->status_code);
    if (state.kind == http_message_kind::request) {
        head.method = ::http_method_str(static_cast<::http_method>(parser->method));
        if (parser->method != HTTP_CONNECT) {
            // A server may ignore an Upgrade header, and this one does.
            parser->upgrade = 0;
        }
    }
    state.head_complete = true;
    return no_body ? 1 : 0;
}

template <typename Impl>
::http_parser_settings make_callbacks()
{
    ::http_parser_settings settings{};
    settings.on_message_begin = [](::http_parser* parser) {
        state_of<Impl>(parser).started = true;
        return 0;
    };
    settings.on_url = [](::http_parser* parser, const char* at, std::size_t size) {
        state_of<Impl>(parser).head.target.append(at, size);
        return 0;
    };
    settings.on_header_field = [](::http_parser* parser, const char* at, std::size_t size) {
        auto& state = state_of<Impl>(parser);
        if (!state.head_complete) {
            state.current_header().name.append(at, size);
        }
        return 0;
    };
    settings.on_header_value = [](::http_parser* parser, const char* at, std::size_t size) {
        auto& state = state_of<Impl>(parser);
        if (!state.head_complete) {
            state.head.headers.lines().back().value.append(at, size);
            state.last_was_value = true;
        }
        return 0;
    };
    settings.on_headers_complete = [](::http_parser* parser) {
        const int result = store_head(state_of<Impl>(parser), parser);
        ::http_parser_pause(parser, 1);
        return result;
    };
    settings.on_body = [](::http_parser* parser, const char* at, std::size_t size) {
        state_of<Impl>(parser).body.emplace_back(at, size);
        return 0;
    };
    settings.on_message_complete = [](::http_parser* parser) {
        state_of<Impl>(parser).message_complete = true;
        ::http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

/** Resumes a paused parser or reports its error. @throws http_syntax_error */
void resume_or_throw(::http_parser& parser)
{
    const auto error = HTTP_PARSER_ERRNO(&parser);
    if (error == HPE_PAUSED) {
        ::http_parser_pause(&parser, 0);
    }
    else if (error == HPE_HEADER_OVERFLOW) {
        throw http_syntax_error("message head exceeds the size limit", head_too_long_status);
    }
    else if (error != HPE_OK) {
        throw http_syntax_error(::http_errno_description(error), malformed_status);
    }
    else if (parser.upgrade != 0) {
        throw http_syntax_error("protocol upgrades are not supported", malformed_status);
    }
}

} // namespace

http_message_parser::http_message_parser(http_message_kind kind, std::size_t max_head_bytes)
    : impl_(std::make_unique<impl>(kind, max_head_bytes))
{
    reset();
}

http_message_parser::~http_message_parser() = default;

void http_message_parser::reset(bool head_request)
{
    auto& state = *impl_;
    ::http_parser_init(&state.parser,
                       state.kind == http_message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = impl_.get();
    state.head_request = head_request;
    state.head_bytes = 0;
    state.started = false;
    state.head_complete = false;
    state.message_complete = false;
    state.last_was_value = false;
    state.line_ends = {};
    state.head.clear();
    state.body.clear();
}

std::size_t http_message_parser::feed(std::string_view data)
{
    impl_->body.clear();
    return impl_->head_complete ? feed_body(data) : feed_head(data);
}

std::size_t http_message_parser::feed_head(std::string_view data)
{
    static const ::http_parser_settings callbacks = make_callbacks<impl>();
    auto& state = *impl_;
    std::size_t consumed =
        ::http_parser_execute(&state.parser, &callbacks, data.data(), data.size());
    resume_or_throw(state.parser);
    if (state.head_complete && consumed < data.size()) {
        // The library pauses before the last byte of the head; that byte is parsed separately.
        consumed += ::http_parser_execute(&state.parser, &callbacks, data.data() + consumed, 1);
        resume_or_throw(state.parser);
    }
    if (state.kind == http_message_kind::response) {
        check_status_line(data.substr(0, consumed), state.head_bytes);
    }
    state.line_ends.check_head(data.substr(0, consumed));
    state.head_bytes += consumed;
    if (state.head_bytes > state.max_head_bytes) {
        throw http_syntax_error("message head exceeds the size limit", head_too_long_status);
    }
    if (state.head_complete) {
        check_head(state.head, state.kind == http_message_kind::request);
        state.line_ends = {};
    }
    return consumed;
}

std::size_t http_message_parser::feed_body(std::string_view data)
{
    static const ::http_parser_settings callbacks = make_callbacks<impl>();
    auto& state = *impl_;
    const std::size_t consumed =
        ::http_parser_execute(&state.parser, &callbacks, data.data(), data.size());
    resume_or_throw(state.parser);
    if (state.head.framing == body_framing::chunked) {
        state.line_ends.check_chunks(data.substr(0, consumed), state.body);
    }
    return consumed;
}

void http_message_parser::finish()
{
    static const ::http_parser_settings callbacks = make_callbacks<impl>();
    auto& state = *impl_;
    state.body.clear();
    if (!state.started || state.message_complete) {
        return;
    }
    ::http_parser_execute(&state.parser, &callbacks, nullptr, 0);
    if (!state.message_complete) {
        throw http_syntax_error("connection was closed before the message was complete",
                                malformed_status);
    }
}

bool http_message_parser::head_complete() const
{
    return impl_->head_complete;
}
bool http_message_parser::message_complete() const
{
    return impl_->message_complete;
}
bool http_message_parser::started() const
{
    return impl_->started;
}
http_head& http_message_parser::head()
{
    return impl_->head;
}
const std::vector<std::string_view>& http_message_parser::body() const
{
    return impl_->body;
}

} // namespace sniperock

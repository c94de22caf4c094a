/** @file http_parser.cpp Message parsing on top of the http_parser library. */
#include "http_parser.hpp"

#include <http_parser.h>

#include <limits>

namespace sniperock {

/** The library's parser and what its callbacks collect. */
struct http_message_parser::impl {
    ::http_parser parser{};
    http_side side;
    std::size_t max_head_bytes;
    std::size_t head_bytes = 0;
    bool head_request = false;
    bool started = false;
    bool head_complete = false;
    bool message_complete = false;
    bool last_was_value = false;
    bool previous_was_cr = false;
    http_head head;
    std::vector<std::string_view> body;

    impl(http_side which, std::size_t max_head) : side(which), max_head_bytes(max_head) {}

    http_header& current_header()
    {
        auto& lines = head.headers.lines();
        if (lines.empty() || last_was_value) {
            lines.emplace_back();
            last_was_value = false;
        }
        return lines.back();
    }

    void refuse_bare_line_feeds(std::string_view data)
    {
        for (const char ch : data) {
            if (ch == '\n' && !previous_was_cr) {
                throw http_syntax_error("line feed without carriage return", 400);
            }
            previous_was_cr = ch == '\r';
        }
    }
};

namespace {

template <typename Impl>
Impl& self(::http_parser* parser)
{
    return *static_cast<Impl*>(parser->data);
}

body_framing framing_of(const ::http_parser& parser, http_side side, bool no_body)
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
    return side == http_side::request ? body_framing::none : body_framing::until_close;
}

bool status_has_no_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    constexpr int first_final = 200;
    return status < first_final || status == no_content || status == not_modified;
}

template <typename Impl>
::http_parser_settings make_callbacks()
{
    ::http_parser_settings settings{};
    settings.on_message_begin = [](::http_parser* parser) {
        self<Impl>(parser).started = true;
        return 0;
    };
    settings.on_url = [](::http_parser* parser, const char* at, std::size_t size) {
        self<Impl>(parser).head.target.append(at, size);
        return 0;
    };
    settings.on_header_field = [](::http_parser* parser, const char* at, std::size_t size) {
        self<Impl>(parser).current_header().name.append(at, size);
        return 0;
    };
    settings.on_header_value = [](::http_parser* parser, const char* at, std::size_t size) {
        auto& state = self<Impl>(parser);
        state.head.headers.lines().back().value.append(at, size);
        state.last_was_value = true;
        return 0;
    };
    settings.on_headers_complete = [](::http_parser* parser) {
        auto& state = self<Impl>(parser);
        const bool no_body =
            state.side == http_side::response &&
            (state.head_request || status_has_no_body(static_cast<int>(parser->status_code)));
        state.head.framing = framing_of(*parser, state.side, no_body);
        state.head.body_length =
            state.head.framing == body_framing::length ? parser->content_length : 0;
        state.head.keep_alive = ::http_should_keep_alive(parser) != 0;
        state.head.status = static_cast<int>(parser->status_code);
        if (state.side == http_side::request) {
            state.head.method = ::http_method_str(static_cast<::http_method>(parser->method));
        }
        state.head_complete = true;
        return no_body ? 1 : 0;
    };
    settings.on_body = [](::http_parser* parser, const char* at, std::size_t size) {
        self<Impl>(parser).body.emplace_back(at, size);
        return 0;
    };
    settings.on_message_complete = [](::http_parser* parser) {
        self<Impl>(parser).message_complete = true;
        ::http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

} // namespace

http_message_parser::http_message_parser(http_side side, std::size_t max_head_bytes)
    : impl_(std::make_unique<impl>(side, max_head_bytes))
{
    reset();
}

http_message_parser::~http_message_parser() = default;

void http_message_parser::reset(bool head_request)
{
    auto& state = *impl_;
    ::http_parser_init(&state.parser,
                       state.side == http_side::request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = impl_.get();
    state.head_request = head_request;
    state.head_bytes = 0;
    state.started = false;
    state.head_complete = false;
    state.message_complete = false;
    state.last_was_value = false;
    state.previous_was_cr = false;
    state.head = {};
    state.body.clear();
}

std::size_t http_message_parser::feed(std::string_view data)
{
    static const ::http_parser_settings callbacks = make_callbacks<impl>();
    auto& state = *impl_;
    state.body.clear();
    const bool in_head = !state.head_complete;
    const std::size_t consumed =
        ::http_parser_execute(&state.parser, &callbacks, data.data(), data.size());
    const auto error = HTTP_PARSER_ERRNO(&state.parser);
    if (error == HPE_PAUSED) {
        ::http_parser_pause(&state.parser, 0);
    }
    else if (error == HPE_HEADER_OVERFLOW) {
        throw http_syntax_error("head is too long", 431);
    }
    else if (error != HPE_OK) {
        throw http_syntax_error(::http_errno_description(error), 400);
    }
    else if (state.parser.upgrade != 0) {
        throw http_syntax_error("protocol upgrades are not served", 400);
    }
    if (in_head) {
        const auto head_end = state.head_complete ? data.find("\r\n\r\n") : std::string_view::npos;
        const auto head_part = head_end == std::string_view::npos ? consumed : head_end + 4;
        state.refuse_bare_line_feeds(data.substr(0, std::min(head_part, consumed)));
        state.head_bytes += std::min(head_part, consumed);
        if (state.head_bytes > state.max_head_bytes) {
            throw http_syntax_error("head is too long", 431);
        }
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
        throw http_syntax_error("connection closed in mid-message", 400);
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

#include "net/http_reader.h"

#include <algorithm>
#include <cctype>
#include <climits>
#include <http_parser.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

// http_parser accepts spaces in names; a backend server might parse such a field differently.
bool is_well_formed(const http_header& field)
{
    constexpr std::string_view token_punctuation = "!#$%&'*+-.^_`|~";
    const auto is_name_char = [&](unsigned char c) {
        return std::isalnum(c) != 0 ||
               token_punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    };
    const auto is_value_char = [](unsigned char c) {
        return (c >= 0x20 && c != 0x7f) || c == '\t';
    };
    return !field.name.empty() && std::all_of(field.name.begin(), field.name.end(), is_name_char) &&
           std::all_of(field.value.begin(), field.value.end(), is_value_char);
}
} // namespace

class http_reader::impl
{
public:
    impl(kind message_kind, std::size_t max_head_bytes, http_reader_listener& listener)
        : listener_{listener}
        , parser_type_{message_kind == kind::requests ? HTTP_REQUEST : HTTP_RESPONSE}
        , max_head_bytes_{max_head_bytes}
    {
        restart();
    }

    void restart()
    {
        http_parser_init(&parser_, parser_type_);
        parser_.data = this;
        head_ = {};
        fields_.clear();
        head_bytes_ = 0;
        value_seen_ = false;
        in_head_ = true;
        in_message_ = false;
        no_body_ = false;
        state_ = read_state::reading;
    }

    std::size_t feed(const char* bytes, std::size_t size)
    {
        if (state_ != read_state::reading) {
            return 0;
        }
        const auto consumed = http_parser_execute(&parser_, &settings(), bytes, size);
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
            // finish_message() paused the parser after the last byte of the message.
            state_ = read_state::message_ended;
            return consumed;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0) {
            state_ = too_large_ ? read_state::head_too_large : read_state::malformed;
        }
        return consumed;
    }

    read_state state_{read_state::reading};
    bool in_message_{false};
    bool no_body_{false};

private:
    static impl& self(http_parser* parser) { return *static_cast<impl*>(parser->data); }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings parser_settings = [] {
            http_parser_settings s{};
            s.on_message_begin = [](http_parser* p) {
                self(p).in_message_ = true;
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, std::size_t n) {
                self(p).head_.target.append(at, n);
                return self(p).count_head_bytes(n);
            };
            s.on_status = [](http_parser* p, const char* /*at*/, std::size_t n) {
                return self(p).count_head_bytes(n);
            };
            s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).add_name({at, n});
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
                return self(p).add_value({at, n});
            };
            s.on_headers_complete = [](http_parser* p) { return self(p).finish_head(); };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                self(p).listener_.on_body({at, n});
                return 0;
            };
            s.on_message_complete = [](http_parser* p) { return self(p).finish_message(); };
            return s;
        }();
        return parser_settings;
    }

    int count_head_bytes(std::size_t n)
    {
        head_bytes_ += n;
        too_large_ = head_bytes_ > max_head_bytes_;
        return too_large_ ? 1 : 0;
    }

    int add_name(std::string_view fragment)
    {
        if (!in_head_) {
            return 0; // trailer fields are ignored
        }
        if (fields_.empty() || value_seen_) {
            fields_.emplace_back();
            value_seen_ = false;
            head_bytes_ += 4; // colon, space and CRLF
        }
        fields_.back().name.append(fragment);
        return count_head_bytes(fragment.size());
    }

    int add_value(std::string_view fragment)
    {
        if (!in_head_) {
            return 0;
        }
        value_seen_ = true;
        fields_.back().value.append(fragment);
        return count_head_bytes(fragment.size());
    }

    int finish_head()
    {
        in_head_ = false;
        head_.http_1_1 = parser_.http_major == 1 && parser_.http_minor >= 1;
        head_.keep_alive = http_should_keep_alive(&parser_) != 0;
        for (auto& field : fields_) {
            const auto last = field.value.find_last_not_of(" \t");
            field.value.resize(last == std::string::npos ? 0 : last + 1);
        }
        const bool has_status =
            parser_type_ == HTTP_REQUEST ||
            (parser_.status_code >= min_status && parser_.status_code <= max_status);
        if (!has_status || !std::all_of(fields_.begin(), fields_.end(), is_well_formed)) {
            constexpr int reject = 3; // an error; http_parser takes 0 to 2 as success
            return reject;
        }
        head_.headers = header_list{std::exchange(fields_, {})};
        if (parser_type_ == HTTP_REQUEST) {
            head_.method = http_method_str(static_cast<http_method>(parser_.method));
        } else {
            head_.status = static_cast<int>(parser_.status_code);
            interim_ = head_.status < 200;
            head_.close_delimited = http_message_needs_eof(parser_);
        }
        if (!interim_) {
            listener_.on_head(std::exchange(head_, {}));
        }
        return no_body_ && !interim_ ? 1 : 0;
    }

    // Same as the private function of http_parser: whether the body ends with the
    // connection, as it has neither a length nor chunks.
    static bool http_message_needs_eof(const http_parser& parser)
    {
        const auto status = parser.status_code;
        return status / 100 != 1 && status != 204 && status != 304 &&
               (parser.flags & F_CHUNKED) == 0 && parser.content_length == ULLONG_MAX;
    }

    int finish_message()
    {
        if (std::exchange(interim_, false)) {
            in_head_ = true;
            head_ = {};
            return 0;
        }
        in_message_ = false;
        http_parser_pause(&parser_, 1);
        listener_.on_message_end();
        return 0;
    }

    http_reader_listener& listener_;
    http_parser_type parser_type_;
    std::size_t max_head_bytes_;
    http_parser parser_{};
    http_head head_;
    std::vector<http_header> fields_;
    std::size_t head_bytes_{0};
    bool value_seen_{false};
    bool in_head_{true};
    bool interim_{false};
    bool too_large_{false};
};

http_reader::http_reader(kind message_kind, std::size_t max_head_bytes,
                         http_reader_listener& listener)
    : impl_{std::make_unique<impl>(message_kind, max_head_bytes, listener)}
{
}

http_reader::~http_reader() = default;

std::size_t http_reader::feed(std::string_view bytes)
{
    return impl_->feed(bytes.data(), bytes.size());
}

void http_reader::feed_end()
{
    impl_->feed(nullptr, 0);
    if (impl_->state_ == read_state::reading && impl_->in_message_) {
        impl_->state_ = read_state::malformed;
    }
}

void http_reader::expect_no_body()
{
    impl_->no_body_ = true;
}

void http_reader::next()
{
    impl_->restart();
}

read_state http_reader::state() const
{
    return impl_->state_;
}

bool http_reader::in_message() const
{
    return impl_->in_message_;
}

} // namespace jujubevalve

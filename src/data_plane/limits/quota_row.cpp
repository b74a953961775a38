#include "data_plane/limits/quota_row.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace shaletray::limits {
namespace {

constexpr std::string_view kRowFormat = "r1", kAnnouncementFormat = "n1";
constexpr double kMaxDemand = 1e9;
constexpr std::size_t kMaxItems = 1024;

// Splits text at single spaces. A word that is not a number of the type and range read makes the text
// invalid.
class WordReader {
public:
    explicit WordReader(std::string_view text) : rest_(text) {}

    std::string_view next_word() {
        if (done_) {
            good_ = false;
            return {};
        }
        const std::size_t end = rest_.find(' ');
        const std::string_view word = rest_.substr(0, end);
        done_ = end == std::string_view::npos;
        rest_ = done_ ? std::string_view() : rest_.substr(end + 1);
        return word;
    }
    template <class T>
    T read_number(T min_value, T max_value, int base = 10) {
        const std::string_view word = next_word();
        T value{};
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value, base);
        return check_range(word, end, error, value, min_value, max_value);
    }
    double read_real(double min_value, double max_value) {
        const std::string_view word = next_word();
        double value = 0.0;
        const auto [end, error] =
            std::from_chars(word.data(), word.data() + word.size(), value, std::chars_format::fixed);
        return check_range(word, end, error, value, min_value, max_value);
    }
    bool good() const { return good_; }
    bool done() const { return done_; }

private:
    template <class T>
    T check_range(std::string_view word, const char* end, std::errc error, T value, T min_value,
                  T max_value) {
        // The comparison is written so that NaN fails as well.
        if (error != std::errc{} || end != word.data() + word.size() ||
            !(value >= min_value && value <= max_value))
            good_ = false;
        return good_ ? value : min_value;
    }

    std::string_view rest_;
    bool good_ = true, done_ = false;
};

}    // namespace

std::string serialize_row(const QuotaRow& row) {
    std::string text =
        fmt::format("{} {:x} {} {} {} {} {:.3f} {:.4f}", kRowFormat, row.incarnation, row.row_stamp,
                    row.plan_index, row.first_gateway, row.set_size, row.demand, row.fill_level);
    for (const QuotaRow::PeerEntry& entry : row.peer_entries)
        fmt::format_to(std::back_inserter(text), " {:x} {} {}", entry.echo_incarnation, entry.echo_stamp,
                       entry.lease_parts);
    return text;
}

std::optional<QuotaRow> parse_row(std::string_view text) {
    WordReader words(text);
    if (words.next_word() != kRowFormat) return std::nullopt;
    constexpr std::uint64_t kMaxValue = ~std::uint64_t{0};
    QuotaRow row;
    row.incarnation = words.read_number<std::uint64_t>(1, kMaxValue, 16);
    row.row_stamp = words.read_number<std::uint64_t>(1, kMaxValue >> 1);
    row.plan_index = words.read_number<int>(0, 1 << 20);
    row.first_gateway = words.read_number<int>(0, 1 << 20);
    row.set_size = words.read_number<int>(1, kMaxGatewaySet);
    row.demand = words.read_real(0.0, kMaxDemand);
    row.fill_level = words.read_real(0.0, 1.0);
    std::uint64_t total_leased = 0;
    for (int index = 0; index < row.set_size && words.good(); ++index) {
        QuotaRow::PeerEntry entry;
        entry.echo_incarnation = words.read_number<std::uint64_t>(0, kMaxValue, 16);
        entry.echo_stamp = words.read_number<std::uint64_t>(0, kMaxValue >> 1);
        entry.lease_parts = words.read_number<std::uint32_t>(0, kFullBaseline);
        total_leased += entry.lease_parts;
        row.peer_entries.push_back(entry);
    }
    // No gateway can lease more than its entire baseline.
    if (!words.good() || !words.done() || total_leased > kFullBaseline) return std::nullopt;
    return row;
}

std::string serialize_announcement(const Announcement& announcement) {
    std::string text = fmt::format("{} {:x} {} {}", kAnnouncementFormat, announcement.incarnation,
                                   announcement.item_count, announcement.items.size());
    for (const Announcement::Item& item : announcement.items)
        fmt::format_to(std::back_inserter(text), " {:x} {} {} {}", static_cast<std::uint64_t>(item.customer),
                       item.plan_index, item.first_gateway, item.set_size);
    return text;
}

std::optional<Announcement> parse_announcement(std::string_view text) {
    WordReader words(text);
    if (words.next_word() != kAnnouncementFormat) return std::nullopt;
    constexpr std::uint64_t kMaxValue = ~std::uint64_t{0};
    Announcement announcement;
    announcement.incarnation = words.read_number<std::uint64_t>(1, kMaxValue, 16);
    announcement.item_count = words.read_number<std::uint64_t>(0, kMaxValue >> 1);
    const auto count =
        words.read_number<std::size_t>(0, std::min<std::uint64_t>(kMaxItems, announcement.item_count));
    for (std::size_t index = 0; index < count && words.good(); ++index) {
        Announcement::Item item;
        item.customer = decision::CustomerId{words.read_number<std::uint64_t>(0, kMaxValue, 16)};
        item.plan_index = words.read_number<int>(0, 1 << 20);
        item.first_gateway = words.read_number<int>(0, 1 << 20);
        item.set_size = words.read_number<int>(1, kMaxGatewaySet);
        announcement.items.push_back(item);
    }
    if (!words.good() || !words.done()) return std::nullopt;
    return announcement;
}

}    // namespace shaletray::limits

#include "data_plane/limits/quota_row.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace shaletray::limits {
namespace {

constexpr std::string_view kRowForm = "r1", kNewsForm = "n1";
constexpr double kMostDemand = 1e9;
constexpr std::size_t kMostItems = 1024;

// Takes words apart at single spaces. A value that is not wholly a number of its kind spoils the whole text.
class Words {
public:
    explicit Words(std::string_view text) : rest_(text) {}

    std::string_view next() {
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
    T number(T least, T most, int base = 10) {
        const std::string_view word = next();
        T value{};
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value, base);
        return take(word, end, error, value, least, most);
    }
    double real(double least, double most) {
        const std::string_view word = next();
        double value = 0.0;
        const auto [end, error] =
            std::from_chars(word.data(), word.data() + word.size(), value, std::chars_format::fixed);
        return take(word, end, error, value, least, most);
    }
    bool good() const { return good_; }
    bool done() const { return done_; }

private:
    template <class T>
    T take(std::string_view word, const char* end, std::errc error, T value, T least, T most) {
        // Written so that a value that is not a number fails too.
        if (error != std::errc{} || end != word.data() + word.size() || !(value >= least && value <= most))
            good_ = false;
        return good_ ? value : least;
    }

    std::string_view rest_;
    bool good_ = true, done_ = false;
};

}    // namespace

std::string write_row(const Row& row) {
    std::string out = fmt::format("{} {:x} {} {} {} {} {:.3f} {:.4f}", kRowForm, row.incarnation, row.stamp,
                                  row.plan, row.first, row.width, row.demand, row.fill);
    for (const Row::Part& part : row.parts)
        fmt::format_to(std::back_inserter(out), " {:x} {} {}", part.echo_incarnation, part.echo_stamp,
                       part.lease);
    return out;
}

std::optional<Row> read_row(std::string_view text) {
    Words words(text);
    if (words.next() != kRowForm) return std::nullopt;
    constexpr std::uint64_t kMost = ~std::uint64_t{0};
    Row row;
    row.incarnation = words.number<std::uint64_t>(1, kMost, 16);
    row.stamp = words.number<std::uint64_t>(1, kMost >> 1);
    row.plan = words.number<int>(0, 1 << 20);
    row.first = words.number<int>(0, 1 << 20);
    row.width = words.number<int>(1, kWidest);
    row.demand = words.real(0.0, kMostDemand);
    row.fill = words.real(0.0, 1.0);
    std::uint64_t leased = 0;
    for (int i = 0; i < row.width && words.good(); ++i) {
        Row::Part part;
        part.echo_incarnation = words.number<std::uint64_t>(0, kMost, 16);
        part.echo_stamp = words.number<std::uint64_t>(0, kMost >> 1);
        part.lease = words.number<std::uint32_t>(0, kWhole);
        leased += part.lease;
        row.parts.push_back(part);
    }
    // More than the whole was never leased by one of ours.
    if (!words.good() || !words.done() || leased > kWhole) return std::nullopt;
    return row;
}

std::string write_news(const News& news) {
    std::string out = fmt::format("{} {:x} {} {}", kNewsForm, news.incarnation, news.last, news.items.size());
    for (const News::Item& item : news.items)
        fmt::format_to(std::back_inserter(out), " {:x} {} {} {}", static_cast<std::uint64_t>(item.customer),
                       item.plan, item.first, item.width);
    return out;
}

std::optional<News> read_news(std::string_view text) {
    Words words(text);
    if (words.next() != kNewsForm) return std::nullopt;
    constexpr std::uint64_t kMost = ~std::uint64_t{0};
    News news;
    news.incarnation = words.number<std::uint64_t>(1, kMost, 16);
    news.last = words.number<std::uint64_t>(0, kMost >> 1);
    const auto count = words.number<std::size_t>(0, std::min<std::uint64_t>(kMostItems, news.last));
    for (std::size_t i = 0; i < count && words.good(); ++i) {
        News::Item item;
        item.customer = decision::CustomerId{words.number<std::uint64_t>(0, kMost, 16)};
        item.plan = words.number<int>(0, 1 << 20);
        item.first = words.number<int>(0, 1 << 20);
        item.width = words.number<int>(1, kWidest);
        news.items.push_back(item);
    }
    if (!words.good() || !words.done()) return std::nullopt;
    return news;
}

}    // namespace shaletray::limits

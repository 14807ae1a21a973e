#include "cluster/address.h"

#include <charconv>

#include <arpa/inet.h>

namespace persimmon::cluster {

std::optional<consensus::voter_id> idOf(std::string_view address)
{
    const std::string ip(address.substr(0, address.find(':')));
    in_addr parsed {};
    if (::inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return std::nullopt;
    return ntohl(parsed.s_addr);
}

bool isEndpoint(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || !idOf(text))
        return false;
    const auto *last = text.data() + text.size();
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data() + colon + 1, last, port);
    return failure == std::errc {} && end == last && port != 0;
}

std::vector<consensus::voter_id> idsOf(std::span<const std::string> addresses)
{
    std::vector<consensus::voter_id> ids;
    for (const auto &address : addresses) {
        if (const auto id = idOf(address))
            ids.push_back(*id);
    }
    return ids;
}

std::string ipOf(consensus::voter_id id)
{
    in_addr raw {};
    raw.s_addr = htonl(id);
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &raw, text, sizeof(text));
    return text;
}

std::string addressOf(consensus::voter_id id, std::uint16_t port)
{
    return ipOf(id) + ":" + std::to_string(port);
}

} // namespace persimmon::cluster

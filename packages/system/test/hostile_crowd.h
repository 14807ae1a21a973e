#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace persimmon::system_test {

// What each connection of a crowd sends: `head` once, then `repeated` until `bytes` are sent. The
// connection then stays open. None of it is a complete request, unless `repeated` is one.
struct hostile_plan
{
    std::string name;
    std::string head;
    std::string repeated;
    std::size_t bytes = 0; // of one connection, at most
    std::size_t connections = 0;
};

// Plans against HTTP listeners: heads, lines, empty lines, trailers and chunk extensions without
// end, and bodies that stop just short of their end.
std::vector<hostile_plan> hostileRequests();

// Connections that only open and stay silent.
hostile_plan silentConnections();

// Connections to the port between processes that announce large messages and send a part of each.
hostile_plan unfinishedMessages();

// Connections that press on an address and stay open until the crowd is destroyed. They never read
// what the peer sends.
class hostile_crowd
{
public:
    // Connects and sends until each connection has sent its bytes, was closed by the peer, or the
    // peer takes nothing more.
    hostile_crowd(const std::string &address, const hostile_plan &plan);
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd &) = delete;
    hostile_crowd &operator=(const hostile_crowd &) = delete;

private:
    struct connection
    {
        int socket = -1;
        std::size_t sent = 0;
        bool finished = false;
    };

    void press(const hostile_plan &plan);
    static bool advance(connection &item, const hostile_plan &plan);

    std::vector<connection> connections_;
};

} // namespace persimmon::system_test

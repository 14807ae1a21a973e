#pragma once

#include <cereal/archives/binary.hpp>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace persimmon {

class message_archive;

} // namespace persimmon

// Names the archive that writes what message_archive reads, which cereal requires.
template <>
struct cereal::traits::detail::get_output_from_input<persimmon::message_archive>
{
    using type = cereal::BinaryOutputArchive;
};

namespace persimmon {

// Reads the binary encoding of a message from another process. A length that exceeds the bytes left
// fails before anything of that length is allocated. Fails by throwing cereal::Exception.
class message_archive : public cereal::InputArchive<message_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit message_archive(std::string_view bytes)
        : InputArchive(this)
        , rest_(bytes)
    {
    }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > rest_.size())
            throw cereal::Exception("the message is cut short");
        std::memcpy(data, rest_.data(), size);
        rest_.remove_prefix(size);
    }

    void checkLength(std::uint64_t elements) const
    {
        if (elements > rest_.size())
            throw cereal::Exception("a length exceeds the message");
    }

    bool atEnd() const { return rest_.empty(); }

private:
    std::string_view rest_;
};

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> load(message_archive &archive, Number &value)
{
    archive.loadBinary(&value, sizeof value);
}

template <typename Value>
void load(message_archive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template <typename Value>
void load(message_archive &archive, cereal::SizeTag<Value> &tag)
{
    archive(tag.size);
    archive.checkLength(tag.size);
}

template <typename Value>
void load(message_archive &archive, cereal::BinaryData<Value> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace persimmon

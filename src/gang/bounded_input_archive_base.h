/// @file Input archive for cereal's portable binary format that bounds sizes by the input.
#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstring>
#include <string_view>
#include <type_traits>

namespace hyssoppond {
class bounded_input_archive;
} // namespace hyssoppond

/// Hook of cereal: load_minimal is looked up by the type that save_minimal returns.
template<>
struct cereal::traits::detail::get_output_from_input<hyssoppond::bounded_input_archive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

namespace hyssoppond {

/// Reads what PortableBinaryOutputArchive writes on a little-endian machine. cereal's own input
/// archive allocates as many elements as the input claims; this one rejects such a claim first.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , m_rest(bytes)
    {
        unsigned char littleEndian = 0;
        read(&littleEndian, 1);
        if (littleEndian != 1)
            throw cereal::Exception("not little-endian");
    }

    void read(void *to, std::size_t size)
    {
        if (size > m_rest.size())
            throw cereal::Exception("truncated");
        std::memcpy(to, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }
    std::size_t rest() const { return m_rest.size(); }

private:
    std::string_view m_rest;
};

/// Hooks of cereal.
template<class value>
requires std::is_arithmetic_v<value>
void load(bounded_input_archive &ar, value &to)
{
    if constexpr (std::is_same_v<value, bool>) {
        unsigned char byte = 0; // any other byte in a bool is undefined behaviour
        ar.read(&byte, 1);
        to = byte != 0;
    } else {
        ar.read(&to, sizeof(to));
    }
}

template<class value>
void load(bounded_input_archive &ar, cereal::BinaryData<value> &to)
{
    ar.read(to.data, static_cast<std::size_t>(to.size));
}

template<class value>
void load(bounded_input_archive &ar, cereal::SizeTag<value> &to)
{
    std::uint64_t size = 0;
    ar.read(&size, sizeof(size));
    if (size > ar.rest()) // each element takes at least one byte
        throw cereal::Exception("size exceeds the input");
    to.size = size;
}

} // namespace hyssoppond

CEREAL_REGISTER_ARCHIVE(hyssoppond::bounded_input_archive)

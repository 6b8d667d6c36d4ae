// Encodes and decodes the lengths of a prompt as text.
#include "prompt_shape.h"

#include <cstdio>

namespace peridotgrade::bench {

std::string encodeShape(const PromptShape& shape)
{
    char text[96];
    std::snprintf(text, sizeof text, "%u:%u:%u:%u:%llu", shape.prefixId, shape.prefixTokens, shape.ownTokens,
        shape.outputTokens, static_cast<unsigned long long>(shape.unique));
    return text;
}

PromptShape decodeShape(const std::string& prompt)
{
    PromptShape shape;
    unsigned long long unique = 0;
    std::sscanf(prompt.c_str(), "%u:%u:%u:%u:%llu", &shape.prefixId, &shape.prefixTokens, &shape.ownTokens,
        &shape.outputTokens, &unique);
    shape.unique = unique;
    return shape;
}

} // namespace peridotgrade::bench

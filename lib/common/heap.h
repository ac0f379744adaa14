/* Binary min-heap of pointers ordered by a 64-bit key. The heap keeps the
 * position of each item up to date in a uint32_t that the item owns, so that
 * any item can be removed or given another key in O(log n). */
#ifndef GW_COMMON_HEAP_H
#define GW_COMMON_HEAP_H

#include <stdbool.h>
#include <stdint.h>

#define GW_HEAP_ABSENT UINT32_MAX /* position of an item that is in no heap */

typedef struct {
    int64_t key;
    void *item;
    uint32_t *position;
} GwHeapSlot;

typedef struct {
    uint32_t count;
    uint32_t capacity;
    GwHeapSlot *slots;
} GwHeap;

void GwHeap_Push(GwHeap *heap, int64_t key, void *item, uint32_t *position);
void GwHeap_Remove(GwHeap *heap, uint32_t *position);
void GwHeap_SetKey(GwHeap *heap, uint32_t *position, int64_t key);
/* The item with the smallest key; NULL when the heap is empty. */
void *GwHeap_Top(const GwHeap *heap);
int64_t GwHeap_TopKey(const GwHeap *heap);
void GwHeap_Free(GwHeap *heap);

#endif

/* A binary heap of pointers ordered by a 64-bit key, smallest first. Each
 * item keeps its place in a uint32_t of its own, so that it can be taken out
 * or moved from the middle in O(log n). */
#ifndef GW_COMMON_HEAP_H
#define GW_COMMON_HEAP_H

#include <stdbool.h>
#include <stdint.h>

#define GW_HEAP_OUT UINT32_MAX /* the place of an item that is in no heap */

typedef struct {
    int64_t key;
    void *item;
    uint32_t *place;
} GwHeapSlot;

typedef struct {
    uint32_t count;
    uint32_t capacity;
    GwHeapSlot *slots;
} GwHeap;

void GwHeap_Push(GwHeap *heap, int64_t key, void *item, uint32_t *place);
void GwHeap_Remove(GwHeap *heap, uint32_t *place);
void GwHeap_Move(GwHeap *heap, uint32_t *place, int64_t key);
/* NULL when the heap is empty. */
void *GwHeap_Top(const GwHeap *heap);
int64_t GwHeap_TopKey(const GwHeap *heap);
void GwHeap_Free(GwHeap *heap);

#endif
